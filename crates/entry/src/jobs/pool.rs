//! The jobs of one owned pool behind a lock.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot, watch};
use vg_base::prelude::*;
use vg_jobs::{Durability, Shard};

use crate::membership::PermitGuard;

/// The result that a waiting requester receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// The job or its cancellation is durable.
    Durable,
    /// The pool was assigned to another owner before the change was confirmed.
    Unconfirmed(Durability),
}

/// The jobs of a pool that this node owns.
///
/// Lock order: the state, then the membership.
#[derive(Debug)]
pub(crate) struct PoolJobs<C: Clock> {
    pool: PoolId,
    state: Mutex<JobsState<C>>,
    wakeup: Notify,
    changes: watch::Sender<u64>,
}

/// The shard of a pool with the data that belongs to it in this process.
#[derive(Debug)]
pub(crate) struct JobsState<C: Clock> {
    /// The jobs, or `None` until they are recovered from the store.
    pub(crate) shard: Option<Shard>,
    /// Channels to the requesters that wait for a job or its cancellation to become
    /// durable.
    pub(crate) waiting: HashMap<JobId, Vec<oneshot::Sender<ChangeOutcome>>>,
    /// Permits of the running attempts, by team.
    pub(crate) permits: BTreeMap<TeamId, Vec<PermitGuard<C>>>,
    /// Number of permits that this node has not yet obtained for attempts that it took
    /// over.
    pub(crate) missing_permits: BTreeMap<TeamId, Permits>,
    /// Teams whose jobs found no permit in the last round, with the number of permits
    /// that they want.
    pub(crate) blocked: BTreeMap<TeamId, Permits>,
    /// Whether enough workers have answered to accept jobs: all of them, or any one after
    /// a waiting time.
    pub(crate) workers_known: bool,
    /// Whether every listed worker has answered. Only then is it certain that no worker
    /// could hold a job.
    pub(crate) workers_complete: bool,
    /// Whether the pool has been assigned to another owner.
    pub(crate) closed: bool,
}

impl<C: Clock> PoolJobs<C> {
    /// Creates the state of a pool whose jobs are still to be recovered.
    pub(crate) fn new(pool: PoolId) -> PoolJobs<C> {
        let state = JobsState {
            shard: None,
            waiting: HashMap::new(),
            permits: BTreeMap::new(),
            missing_permits: BTreeMap::new(),
            blocked: BTreeMap::new(),
            workers_known: false,
            workers_complete: false,
            closed: false,
        };
        let (changes, _) = watch::channel(0);
        PoolJobs { pool, state: Mutex::new(state), wakeup: Notify::new(), changes }
    }

    /// Returns the pool.
    pub(crate) fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, JobsState<C>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the controller run a round immediately.
    pub(crate) fn wake(&self) {
        self.wakeup.notify_one();
    }

    /// Waits until the controller is woken.
    pub(crate) async fn woken(&self) {
        self.wakeup.notified().await;
    }

    /// Notifies those who wait for a job's state to change.
    pub(crate) fn note_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified when jobs change their state.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Stops accepting and placing jobs. What was accepted is still made durable, and the
    /// permits stay in use until they are handed over to the next owner.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.wake();
    }

    /// Returns whether a requester still waits for a change to become durable.
    pub(crate) fn has_waiters(&self) -> bool {
        let state = self.lock();
        let mut waiting = state.waiting.values().flatten();
        waiting.any(|sender| !sender.is_closed())
    }
}
