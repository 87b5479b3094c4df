//! The jobs of one owned pool behind their lock.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot, watch};
use vg_base::prelude::*;
use vg_jobs::{Durability, Shard};

use crate::membership::PermitGuard;

/// What a waiting request is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Settled {
    /// The job, or its cancellation, is durable.
    Durable,
    /// The pool went to another owner first.
    Withdrawn(Durability),
}

/// The jobs of a pool that this node owns.
///
/// Lock order: the state, then the membership.
#[derive(Debug)]
pub(crate) struct PoolJobs<C: Clock> {
    pool: PoolId,
    state: Mutex<JobsState<C>>,
    rung: Notify,
    changes: watch::Sender<u64>,
}

/// A pool's shard with what belongs to it in this process.
#[derive(Debug)]
pub(crate) struct JobsState<C: Clock> {
    /// The jobs; none until they were recovered from the store.
    pub(crate) shard: Option<Shard>,
    /// Requests that wait for a job to become durable.
    pub(crate) waiting: HashMap<JobId, Vec<oneshot::Sender<Settled>>>,
    /// Units of the attempts that run, by team.
    pub(crate) units: BTreeMap<TeamId, Vec<PermitGuard<C>>>,
    /// Units of attempts taken over that this node could not obtain yet.
    pub(crate) debt: BTreeMap<TeamId, Permits>,
    /// Teams whose jobs found no unit in the last round, with what they want.
    pub(crate) blocked: BTreeMap<TeamId, Permits>,
    /// Whether the workers that answer have been heard of.
    pub(crate) known: bool,
    /// Whether every listed worker has been heard of: only then is it proved
    /// that none could hold a job.
    pub(crate) complete: bool,
    /// Whether the pool is another owner's now.
    pub(crate) closed: bool,
}

impl<C: Clock> PoolJobs<C> {
    /// Makes the jobs of a pool that are still to be recovered.
    pub(crate) fn new(pool: PoolId) -> PoolJobs<C> {
        let state = JobsState {
            shard: None,
            waiting: HashMap::new(),
            units: BTreeMap::new(),
            debt: BTreeMap::new(),
            blocked: BTreeMap::new(),
            known: false,
            complete: false,
            closed: false,
        };
        let (changes, _) = watch::channel(0);
        PoolJobs { pool, state: Mutex::new(state), rung: Notify::new(), changes }
    }

    /// Returns the pool.
    pub(crate) fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Locks the state.
    pub(crate) fn lock(&self) -> MutexGuard<'_, JobsState<C>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the keeper look at once.
    pub(crate) fn ring(&self) {
        self.rung.notify_one();
    }

    /// Waits until the keeper is to look.
    pub(crate) async fn rung(&self) {
        self.rung.notified().await;
    }

    /// Tells those that wait for a job's state to look again.
    pub(crate) fn note_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that sees changes of the jobs' states.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Stops keeping the jobs. What was taken in is still made durable, and
    /// their units stay in use until they are handed to the next owner.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.ring();
    }

    /// Whether a request still waits for its job to become durable.
    pub(crate) fn is_awaited(&self) -> bool {
        let state = self.lock();
        let mut waiting = state.waiting.values().flatten();
        waiting.any(|sender| !sender.is_closed())
    }
}
