//! The controller of a pool's jobs, which executes what the shard requests.

mod actions;
mod workers;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinSet;
use vg_base::prelude::*;
use vg_jobs::{
    Action, BatchId, Commit, CommitOutcome, Now, Report, Resources, Shard, Stored, Task,
    WeightedPolicy,
};
use vg_store::{Key, Store};

use crate::follow::with_timeout;
use crate::jobs::pool::JobsState;
use crate::jobs::worker::LeaseAnswer;
use crate::jobs::{PoolJobs, permits, recovery};
use crate::node::Node;
use crate::platform::Platform;

/// Longest time between two rounds of the controller.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the lease of a worker is renewed while the pool runs no tasks. A
/// lease lasts several such intervals.
const IDLE_RENEW_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which leases are renewed, and workers are asked for finished tasks, while
/// the pool runs tasks.
const ACTIVE_RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time after a change of owner in which accepted work is still resolved.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long submissions and the timers of the shard wait for workers that do not answer.
const WORKER_WAIT: Duration = Duration::from_secs(3);
/// How long jobs that were taken over may run without permits of this node. The timeout
/// ends well before the permits of the lost owner become free for others.
const MISSING_PERMITS_TIMEOUT: Duration = Duration::from_secs(8);

/// Most permits that the waiting jobs of a pool request for one team at a time.
const MAX_WANTED_PERMITS: u32 = 16;

/// The completion of an operation that the controller has started.
enum Completion {
    /// A batch was sent to the store.
    Batch { id: BatchId, commit: Commit },
    /// The head of the journal was read. The outer option is `None` if the store did not
    /// answer.
    Head(Option<Option<Stored>>),
    /// The renewal of a worker's lease has ended. `answer` is `None` if the worker did
    /// not answer.
    Lease { host: HostId, sent: Instant, answer: Option<LeaseAnswer> },
    /// A request about a task has ended. `report` is `None` if the worker reported
    /// nothing.
    Report { task: Task, report: Option<Report> },
    /// A request was sent whose answer does not matter.
    Sent,
}

/// A worker as the controller knows it.
struct KnownWorker {
    addr: SocketAddr,
    capacity: Option<Resources>,
    /// When the last renewal of its lease was sent.
    renewed_at: Option<Instant>,
    renewing: bool,
}

/// Manages the jobs of a pool until the pool is assigned to another owner.
pub(crate) async fn run_controller<P: Platform>(
    node: Node<P>,
    jobs: Arc<PoolJobs<P::Clock>>,
    epoch: Epoch,
    previous: Option<Member>,
) {
    if !recovery::claim_and_recover(&node, &jobs, epoch).await {
        return;
    }
    permits::obtain_permits(&node, &jobs, previous.as_ref()).await;
    let started = node.clock.now();
    let (workers, policy, pending) = (BTreeMap::new(), WeightedPolicy::default(), JoinSet::new());
    let controller = JobController { node, jobs, started, workers, policy, pending };
    controller.run().await;
}

struct JobController<P: Platform> {
    node: Node<P>,
    jobs: Arc<PoolJobs<P::Clock>>,
    started: Instant,
    workers: BTreeMap<HostId, KnownWorker>,
    /// Kept from round to round, because the minimum share of background work is counted
    /// over all rounds.
    policy: WeightedPolicy,
    pending: JoinSet<Completion>,
}

impl<P: Platform> JobController<P> {
    /// Runs rounds until the pool is closed, then resolves waiting requests for at most
    /// [`CLOSE_TIMEOUT`].
    async fn run(mut self) {
        let mut deadline = None;
        loop {
            if self.jobs.lock().closed {
                let deadline = *deadline.get_or_insert(self.node.clock.now() + CLOSE_TIMEOUT);
                if !self.jobs.has_waiters() || self.node.clock.now() >= deadline {
                    break;
                }
                self.flush();
            } else {
                self.run_round();
            }
            tokio::select! {
                Some(completion) = self.pending.join_next() => {
                    // A task that has panicked has no result.
                    if let Ok(completion) = completion {
                        self.handle_completion(completion);
                    }
                }
                () = self.jobs.woken() => {}
                () = tokio::time::sleep(ROUND_INTERVAL) => {}
            }
        }
        self.jobs.lock().waiting.clear();
    }

    /// Makes durable what was accepted before the pool was assigned to another owner.
    /// Once the new owner has claimed the journal, the waiting requesters are told
    /// instead what became of each job.
    fn flush(&mut self) {
        let now = Now::read(&self.node.clock);
        let jobs = Arc::clone(&self.jobs);
        let mut state = jobs.lock();
        let Some(shard) = &mut state.shard else { return };
        self.commit_next(shard, now);
        let actions = shard.take_actions();
        drop(state);
        for action in actions {
            if matches!(
                action,
                Action::Accepted { .. }
                    | Action::CancelAccepted { .. }
                    | Action::Unconfirmed { .. }
            ) {
                self.execute(action, now.mono);
            }
        }
    }

    /// Runs one round: everything that is due now.
    fn run_round(&mut self) {
        let now = Now::read(&self.node.clock);
        permits::acquire_missing(&self.node, &self.jobs);
        self.update_workers(now);
        self.renew_leases(now.mono);
        let may_act = self.node.membership.check_may_act().is_ok();
        let jobs = Arc::clone(&self.jobs);
        let mut state = jobs.lock();
        let JobsState { shard: Some(shard), permits, blocked, workers_complete, .. } = &mut *state
        else {
            return;
        };
        // A worker that is not listed yet looks like one that is leaving, so its tasks
        // would be checkpointed and moved away.
        if *workers_complete || now.mono >= self.started + WORKER_WAIT {
            shard.tick(now);
        }
        if may_act {
            let config = self.node.config.current();
            let plans = config.lists.plans.values();
            self.policy.set_shares(plans.map(|plan| (plan.team.clone(), plan.share)));
            let membership = &self.node.membership;
            let wanted = Permits(
                u32::try_from(shard.waiting_jobs()).unwrap_or(u32::MAX).min(MAX_WANTED_PERMITS),
            );
            blocked.clear();
            shard.place(
                &mut self.policy,
                |team| match membership.acquire_permits(team, Permits(1)) {
                    Ok(guard) => {
                        permits.entry(team.clone()).or_default().push(guard);
                        true
                    }
                    Err(_) => {
                        blocked.insert(team.clone(), wanted);
                        false
                    }
                },
                now,
            );
        }
        self.commit_next(shard, now);
        let actions = shard.take_actions();
        drop(state);
        for action in actions {
            self.execute(action, now.mono);
        }
    }

    /// Sends the shard's next batch to the store, if there is one.
    fn commit_next(&mut self, shard: &mut Shard, now: Now) {
        let Ok(Some(batch)) = shard.next_batch(now) else { return };
        let node = self.node.clone();
        self.pending.spawn(async move {
            let outcome = with_timeout(node.store.commit(recovery::to_txn(&batch))).await;
            node.metrics.record_store_call("jobs-commit", outcome.is_ok());
            Completion::Batch { id: batch.id, commit: recovery::to_commit(outcome) }
        });
    }

    /// Passes the result of an operation to the shard.
    fn handle_completion(&mut self, completion: Completion) {
        let now = Now::read(&self.node.clock);
        let jobs = Arc::clone(&self.jobs);
        let mut state = jobs.lock();
        let Some(shard) = &mut state.shard else { return };
        match completion {
            Completion::Batch { id, commit } => {
                if shard.handle_commit(id, commit, now) == CommitOutcome::ReadHead {
                    self.read_head();
                }
            }
            Completion::Head(Some(found)) => {
                // A head that could not be decoded is read again.
                if shard.handle_head(found.as_ref(), now).is_err() {
                    self.read_head();
                }
            }
            Completion::Head(None) => self.read_head(),
            Completion::Lease { host, sent, answer } => {
                self.apply_lease_answer(shard, host, sent, answer, now)
            }
            Completion::Report { task, report: Some(report) } => {
                // A report on a stale attempt has no effect.
                let _ = shard.report(&task.instance, task.job, task.attempt, report, now);
            }
            Completion::Report { report: None, .. } | Completion::Sent => {}
        }
    }

    /// Reads the head of the journal, which shows who owns it.
    fn read_head(&mut self) {
        let node = self.node.clone();
        let key = Key::from(format!("{}head", vg_jobs::journal_prefix(self.jobs.pool())));
        self.pending.spawn(async move {
            let found = with_timeout(node.store.get(&key)).await;
            node.metrics.record_store_call("jobs", found.is_ok());
            if found.is_err() {
                tokio::time::sleep(ROUND_INTERVAL).await;
            }
            Completion::Head(found.ok().map(|entry| entry.as_ref().map(recovery::to_stored)))
        });
    }
}
