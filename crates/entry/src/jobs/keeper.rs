//! The keeper of a pool's jobs: carries out what the shard asks for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinSet;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_jobs::{
    Action, BatchId, Commit, Cores, Heartbeat, JobState, Limits, Now, Report, Resources,
    Settlement, Shard, Site, Stored, Task, Usage, Weighted, WorkerSpec,
};
use vg_store::{Key, Store};

use crate::follow::bounded;
use crate::hosts::{Host, HostKind, HostList, HostState};
use crate::jobs::pool::{JobsState, Settled};
use crate::jobs::worker::{LeaseAnswer, WorkerClient};
use crate::jobs::{PoolJobs, open, units};
use crate::node::Node;
use crate::platform::Platform;

/// Longest time between two looks at a pool's jobs.
const LOOK_PERIOD: Duration = Duration::from_millis(50);
/// Period in which workers' leases are renewed. They last several periods.
const RENEW_PERIOD: Duration = Duration::from_secs(5);
/// Period in which a worker with running tasks is asked for their ends.
const WATCH_PERIOD: Duration = Duration::from_millis(250);
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
    let (workers, order, io) = (BTreeMap::new(), Weighted::default(), JoinSet::new());
    let keeper = Keeper { node, jobs, began, workers, order, io };
    keeper.run().await;
}

struct Keeper<P: Platform> {
    node: Node<P>,
    jobs: Arc<PoolJobs<P::Clock>>,
    began: Instant,
    workers: BTreeMap<HostId, KnownWorker>,
    /// Kept over the rounds: the background floor counts over all of them.
    order: Weighted,
    io: JoinSet<Done>,
}

impl<P: Platform> Keeper<P> {
    async fn run(mut self) {
        while !self.jobs.lock().closed {
            self.look();
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
    }

    /// Does all that is due.
    fn look(&mut self) {
        let now = Now::read(&self.node.clock);
        units::pay_debt(&self.node, &self.jobs);
        self.list_workers(now);
        self.renew_leases(now.mono);
        let may_act = self.node.roster.check_may_act().is_ok();
        let jobs = Arc::clone(&self.jobs);
        let mut state = jobs.lock();
        let JobsState { shard: Some(shard), units, blocked, .. } = &mut *state else { return };
        shard.tick(now);
        if may_act {
            let config = self.node.config.current();
            let plans = config.lists.plans.values();
            self.order.set_shares(plans.map(|plan| (plan.team.clone(), plan.share)));
            let roster = &self.node.roster;
            let wanted = Units(u32::try_from(shard.waiting()).unwrap_or(u32::MAX).min(WANTED_MAX));
            blocked.clear();
            shard.place(
                &mut self.order,
                |team| match roster.start(team, Units(1)) {
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
            node.metrics.store_called("jobs-commit", outcome.is_ok());
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
                if shard.committed(id, commit, now) == Settlement::ReadHead {
                    self.read_head();
                }
            }
            Done::Head(Some(found)) => {
                // A head that can't be read is read again.
                if shard.head_read(found.as_ref(), now).is_err() {
                    self.read_head();
                }
            }
            Done::Head(None) => self.read_head(),
            Done::Lease { host, sent, answer } => self.take_lease(shard, host, sent, answer, now),
            Done::Word { task, report: Some(report) } => {
                // A late word changes nothing.
                let _ = shard.report(&task.site, task.job, task.attempt, report, now);
            }
            Done::Word { report: None, .. } | Done::Sent => {}
        }
    }

    fn read_head(&mut self) {
        let node = self.node.clone();
        let key = Key::from(format!("{}head", vg_jobs::segment_prefix(self.jobs.pool())));
        self.io.spawn(async move {
            let found = bounded(node.store.get(&key)).await;
            node.metrics.store_called("jobs", found.is_ok());
            if found.is_err() {
                tokio::time::sleep(LOOK_PERIOD).await;
            }
            Done::Head(found.ok().map(|entry| entry.as_ref().map(open::stored)))
        });
    }

    fn take_lease(
        &mut self,
        shard: &mut Shard,
        host: HostId,
        sent: Instant,
        answer: Option<LeaseAnswer>,
        now: Now,
    ) {
        let Some(known) = self.workers.get_mut(&host) else { return };
        known.busy = false;
        let Some(answer) = answer else { return };
        if known.total.replace(answer.capacity.into()).is_none() {
            // A worker that the shard doesn't list can't take jobs.
            let specs = self.specs(&self.node.hosts.current());
            shard.list_workers(&specs, now);
        }
        let site = Site { worker: host.clone(), incarnation: answer.incarnation };
        let tasks = answer.tasks.iter();
        let usage = Usage {
            measured: sent,
            total: answer.usage.into(),
            tasks: tasks.map(|each| (each.job, each.attempt(), each.usage())).collect(),
        };
        let incarnation = answer.incarnation;
        shard.heartbeat(Heartbeat { host, incarnation, sent, usage: Some(usage) }, now);
        for task in &answer.tasks {
            if let Some(report) = task.report() {
                // A word on an attempt that is over changes nothing.
                let _ = shard.report(&site, task.job, task.attempt(), report, now);
            }
        }
    }

    /// Takes in the pool's part of the host list.
    fn list_workers(&mut self, now: Now) {
        let list = self.node.hosts.current();
        let ours = list.hosts.iter().filter(|host| host.kind == HostKind::Worker);
        let ours: Vec<_> =
            ours.filter(|host| host.pool.as_ref() == Some(self.jobs.pool())).collect();
        self.workers.retain(|id, _| ours.iter().any(|host| host.id == *id));
        for host in &ours {
            let fresh = KnownWorker { addr: host.addr, total: None, asked: None, busy: false };
            let known = self.workers.entry(host.id.clone()).or_insert(fresh);
            known.addr = host.addr;
        }
        let specs = self.specs(&list);
        let mut state = self.jobs.lock();
        state.known = list.revision > 0 && specs.len() == ours.len();
        if let Some(shard) = &mut state.shard {
            shard.list_workers(&specs, now);
        }
    }

    /// Returns the pool's workers that have told what they have.
    fn specs(&self, list: &HostList) -> Vec<WorkerSpec> {
        let spec = |host: &Host| {
            let total = self.workers.get(&host.id).and_then(|known| known.total)?;
            Some(WorkerSpec {
                host: host.id.clone(),
                rack: host.rack.clone(),
                zone: host.zone.clone(),
                total,
                leaving: host.state == HostState::Leaving,
            })
        };
        list.hosts.iter().filter_map(spec).collect()
    }

    /// Renews leases that are due. With units still missing after a time, the
    /// leases are left to lapse, which stops the tasks that have none.
    fn renew_leases(&mut self, now: Instant) {
        if self.node.roster.check_may_act().is_err() {
            return;
        }
        let state = self.jobs.lock();
        let overdue = !state.debt.is_empty() && now > self.began + DEBT_TIME;
        let Some(shard) = &state.shard else { return };
        let epoch = shard.journal().epoch();
        let period = if shard.units().is_empty() { RENEW_PERIOD } else { WATCH_PERIOD };
        drop(state);
        if overdue {
            return;
        }
        for (host, known) in &mut self.workers {
            if known.busy || known.asked.is_some_and(|at| now < at + period) {
                continue;
            }
            (known.busy, known.asked) = (true, Some(now));
            let client =
                WorkerClient::new(self.node.client.clone(), self.node.metrics.clone(), known.addr);
            let (host, ttl) = (host.clone(), Limits::default().worker_lease);
            self.io.spawn(async move {
                let answer = client.lease(epoch, ttl).await;
                Done::Lease { host, sent: now, answer }
            });
        }
    }

    fn act(&mut self, action: Action, now: Instant) {
        match action {
            Action::Accepted { job } | Action::CancelTaken { job } => {
                self.tell(job, Settled::Durable);
            }
            Action::Withdrawn { jobs } => {
                for (job, fate) in jobs {
                    self.tell(job, Settled::Withdrawn(fate));
                }
            }
            Action::Start(start) => {
                let ttl = Limits::default().worker_lease;
                let task = start.task.clone();
                self.record(Code::JobStarted, &task);
                self.send(task, |client| async move { client.start(&start, ttl).await });
            }
            Action::Query(task) => {
                let asked = task.clone();
                self.send(task, |client| async move { client.query(&asked).await });
            }
            Action::Checkpoint(task) => {
                let asked = task.clone();
                self.send(task, |client| async move { client.stop(&asked, true).await });
            }
            Action::Stop(task) => {
                let asked = task.clone();
                self.send(task, |client| async move { client.stop(&asked, false).await });
            }
            Action::Throttle { task, limit } => self.throttle(task, limit),
            Action::Release(task) => self.release(task),
            Action::UnitBack { team } => {
                let mut state = self.jobs.lock();
                // An attempt taken over without a unit has none to give back.
                if state.units.get_mut(&team).and_then(Vec::pop).is_none() {
                    state.debt.remove(&team);
                }
            }
            Action::Shown { job, state } => self.show(job, state),
            Action::Stepped { job, attempt, transition } => {
                if matches!(transition.to, JobState::Queued | JobState::Stopped) {
                    let fields = [Field::new("job", job), Field::new("attempt", attempt)];
                    self.node.events.record(Code::JobRequeued, fields);
                }
            }
            Action::Quarantined { worker, until } => {
                let time = until.saturating_duration_since(now).as_secs();
                let fields = [Field::new("host", worker), Field::new("seconds", time)];
                self.node.events.record(Code::WorkerQuarantined, fields);
            }
            Action::Restored { worker } => {
                self.node.events.record(Code::WorkerRestored, [Field::new("host", worker)]);
            }
            Action::Fenced => self.jobs.close(),
        }
    }

    fn tell(&self, job: JobId, settled: Settled) {
        let waiting = self.jobs.lock().waiting.remove(&job).unwrap_or_default();
        for sender in waiting {
            // Whoever went away is not told.
            let _ = sender.send(settled);
        }
    }

    fn show(&self, job: JobId, state: JobState) {
        let code = match state {
            JobState::Done { .. } => Some(Code::JobDone),
            JobState::Failed { .. } => Some(Code::JobFailed),
            JobState::Cancelled => Some(Code::JobCancelled),
            JobState::Unknown => Some(Code::JobUnknown),
            JobState::CannotRun => Some(Code::JobCannotRun),
            _ => None,
        };
        if let Some(code) = code {
            self.node.events.record(code, [Field::new("job", job)]);
        }
        self.jobs.note_change();
    }

    fn record(&self, code: Code, task: &Task) {
        let fields = [
            Field::new("job", task.job),
            Field::new("attempt", task.attempt),
            Field::new("host", &task.site.worker),
        ];
        self.node.events.record(code, fields);
    }

    /// Sends a message about a task to its worker, and takes in its word.
    fn send<F, R>(&mut self, task: Task, message: F)
    where
        F: FnOnce(WorkerClient) -> R,
        R: Future<Output = Option<Report>> + Send + 'static,
    {
        let Some(client) = self.client(&task) else { return };
        let word = message(client);
        self.io.spawn(async move {
            let report = word.await;
            Done::Word { task, report }
        });
    }

    fn throttle(&mut self, task: Task, limit: Option<Cores>) {
        let Some(client) = self.client(&task) else { return };
        let state = self.jobs.lock();
        let job = state.shard.as_ref().and_then(|shard| shard.job(task.job));
        let declared = job.map_or(1, |job| job.spec().size.cores.0.max(1));
        drop(state);
        let percent = limit.map_or(100, |limit| limit.0.saturating_mul(100) / declared);
        self.io.spawn(async move {
            client.throttle(&task, percent.clamp(1, 100)).await;
            Done::Sent
        });
    }

    fn release(&mut self, task: Task) {
        let Some(client) = self.client(&task) else { return };
        self.io.spawn(async move {
            client.release(&task).await;
            Done::Sent
        });
    }

    fn client(&self, task: &Task) -> Option<WorkerClient> {
        let known = self.workers.get(&task.site.worker)?;
        Some(WorkerClient::new(self.node.client.clone(), self.node.metrics.clone(), known.addr))
    }
}
