//! The keeper of a pool's jobs: carries out what the shard asks for.

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

use crate::follow::bounded;
use crate::jobs::pool::JobsState;
use crate::jobs::worker::LeaseAnswer;
use crate::jobs::{PoolJobs, open, units};
use crate::node::Node;
use crate::platform::Platform;

/// Longest time between two looks at a pool's jobs.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Period in which workers' leases are renewed. They last several periods.
const RENEW_PERIOD: Duration = Duration::from_secs(5);
/// Period in which a worker with running tasks is asked for their ends.
const WATCH_PERIOD: Duration = Duration::from_millis(250);
/// Longest time after a change of owner in which work taken in is settled.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// How long submissions wait for workers that do not answer.
const KNOWN_TIME: Duration = Duration::from_secs(3);
/// How long jobs taken over may run without a unit of this node. Well before
/// the units of the lost owner become free for others.
const DEBT_TIME: Duration = Duration::from_secs(8);

/// Most units that a pool's waiting jobs of one team ask for at once.
const WANTED_MAX: u32 = 16;

/// Something that the keeper had started and that has ended.
enum Done {
    /// A batch was sent to the store.
    Batch { id: BatchId, commit: Commit },
    /// The head of the journal was read; none: the store gave no answer.
    Head(Option<Option<Stored>>),
    /// A worker's lease was renewed; none: it gave no answer.
    Lease { host: HostId, sent: Instant, answer: Option<LeaseAnswer> },
    /// A worker said something of an attempt.
    Word { task: Task, report: Option<Report> },
    /// Nothing follows.
    Sent,
}

/// A worker as the keeper knows it.
struct KnownWorker {
    addr: SocketAddr,
    total: Option<Resources>,
    /// When it was asked last, unless it is being asked now.
    asked: Option<Instant>,
    busy: bool,
}

/// Keeps the jobs of a pool until it goes to another owner.
pub(crate) async fn keep<P: Platform>(
    node: Node<P>,
    jobs: Arc<PoolJobs<P::Clock>>,
    epoch: Epoch,
    earlier: Option<Member>,
) {
    if !open::open(&node, &jobs, epoch).await {
        return;
    }
    units::obtain(&node, &jobs, earlier.as_ref()).await;
    let began = node.clock.now();
    let (workers, order, io) = (BTreeMap::new(), WeightedPolicy::default(), JoinSet::new());
    let keeper = Keeper { node, jobs, began, workers, order, io };
    keeper.run().await;
}

struct Keeper<P: Platform> {
    node: Node<P>,
    jobs: Arc<PoolJobs<P::Clock>>,
    began: Instant,
    workers: BTreeMap<HostId, KnownWorker>,
    /// Kept over the rounds: the background floor counts over all of them.
    order: WeightedPolicy,
    io: JoinSet<Done>,
}

impl<P: Platform> Keeper<P> {
    async fn run(mut self) {
        let mut last = None;
        loop {
            if self.jobs.lock().closed {
                let last = *last.get_or_insert(self.node.clock.now() + CLOSE_TIME);
                if !self.jobs.is_awaited() || self.node.clock.now() >= last {
                    break;
                }
                self.flush();
            } else {
                self.look();
            }
            tokio::select! {
                Some(done) = self.io.join_next() => {
                    // A task of ours that panicked has nothing to tell.
                    if let Ok(done) = done {
                        self.take_in(done);
                    }
                }
                () = self.jobs.rung() => {}
                () = tokio::time::sleep(LOOK_PERIOD) => {}
            }
        }
        self.jobs.lock().waiting.clear();
    }

    /// Makes durable what was taken in before the pool went to another owner.
    /// Once that one has claimed the journal, it is told instead what became
    /// of each.
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
                self.act(action, now.mono);
            }
        }
    }

    /// Does all that is due.
    fn look(&mut self) {
        let now = Now::read(&self.node.clock);
        units::pay_debt(&self.node, &self.jobs);
        self.list_workers(now);
        self.renew_leases(now.mono);
        let may_act = self.node.membership.check_may_act().is_ok();
        let jobs = Arc::clone(&self.jobs);
        let mut state = jobs.lock();
        let JobsState { shard: Some(shard), units, blocked, complete, .. } = &mut *state else {
            return;
        };
        // A worker that is not listed yet looks like one that is leaving, and
        // its tasks would be checkpointed away.
        if *complete || now.mono >= self.began + KNOWN_TIME {
            shard.tick(now);
        }
        if may_act {
            let config = self.node.config.current();
            let plans = config.lists.plans.values();
            self.order.set_shares(plans.map(|plan| (plan.team.clone(), plan.share)));
            let membership = &self.node.membership;
            let wanted =
                Permits(u32::try_from(shard.waiting_jobs()).unwrap_or(u32::MAX).min(WANTED_MAX));
            blocked.clear();
            shard.place(
                &mut self.order,
                |team| match membership.acquire_permits(team, Permits(1)) {
                    Ok(guard) => {
                        units.entry(team.clone()).or_default().push(guard);
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
            self.act(action, now.mono);
        }
    }

    fn commit_next(&mut self, shard: &mut Shard, now: Now) {
        let Ok(Some(batch)) = shard.next_batch(now) else { return };
        let node = self.node.clone();
        self.io.spawn(async move {
            let outcome = bounded(node.store.commit(open::txn(&batch))).await;
            node.metrics.record_store_call("jobs-commit", outcome.is_ok());
            Done::Batch { id: batch.id, commit: open::commit(outcome) }
        });
    }

    fn take_in(&mut self, done: Done) {
        let now = Now::read(&self.node.clock);
        let jobs = Arc::clone(&self.jobs);
        let mut state = jobs.lock();
        let Some(shard) = &mut state.shard else { return };
        match done {
            Done::Batch { id, commit } => {
                if shard.handle_commit(id, commit, now) == CommitOutcome::ReadHead {
                    self.read_head();
                }
            }
            Done::Head(Some(found)) => {
                // A head that can't be read is read again.
                if shard.handle_head(found.as_ref(), now).is_err() {
                    self.read_head();
                }
            }
            Done::Head(None) => self.read_head(),
            Done::Lease { host, sent, answer } => self.take_lease(shard, host, sent, answer, now),
            Done::Word { task, report: Some(report) } => {
                // A late word changes nothing.
                let _ = shard.report(&task.instance, task.job, task.attempt, report, now);
            }
            Done::Word { report: None, .. } | Done::Sent => {}
        }
    }

    fn read_head(&mut self) {
        let node = self.node.clone();
        let key = Key::from(format!("{}head", vg_jobs::journal_prefix(self.jobs.pool())));
        self.io.spawn(async move {
            let found = bounded(node.store.get(&key)).await;
            node.metrics.record_store_call("jobs", found.is_ok());
            if found.is_err() {
                tokio::time::sleep(LOOK_PERIOD).await;
            }
            Done::Head(found.ok().map(|entry| entry.as_ref().map(open::stored)))
        });
    }
}
