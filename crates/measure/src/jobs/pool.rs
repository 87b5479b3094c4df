//! One pool under the shard's decisions, on model time.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_jobs::{
    Action, Batch, Class, Commit, CommitOutcome, Heartbeat, JobState, Limits, Now, Report, Shard,
    Start, SubmitOutcome, Task, Usage, WeightedPolicy, claim, recover,
};

use super::cluster::{Cluster, Exit, Run};
use super::site::{PoolSite, Site, name};
use super::store::CountingStore;
use super::tally::Tally;
use super::work::{Arrival, Truth, arrivals};

/// Step of model time, and the time of one store write, in milliseconds.
const STEP_MILLIS: u64 = 50;

/// Period of heartbeats and of ticks.
const BEAT_MILLIS: u64 = 2000;
const TICK_MILLIS: u64 = 250;

/// Shortest time between two batches.
const GAP_MILLIS: u64 = 250;

/// Time that a checkpoint takes.
const CHECKPOINT_MILLIS: u64 = 300;

/// Model time after the last arrival in which all work is to end.
const DRAIN_MILLIS: u64 = 3_600_000;

/// Faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Faults {
    None,
    /// Lost owners, store outages and restarted workers.
    All,
}

/// An action to carry out later.
#[derive(Debug)]
enum Due {
    Checkpointed(Task),
    Settle(Batch),
}

/// One pool on model time.
#[derive(Debug)]
pub(super) struct Pool<'a> {
    site: &'a PoolSite,
    /// The entry host that owns the pool.
    node: usize,
    faults: Faults,
    start: Instant,
    now: u64,
    store: CountingStore,
    shard: Option<Shard>,
    owner: u64,
    order: WeightedPolicy,
    cluster: Cluster,
    arrivals: Vec<Arrival>,
    truths: BTreeMap<JobId, (Truth, u64, Class)>,
    accepted: BTreeSet<JobId>,
    started: BTreeSet<JobId>,
    due: Vec<(u64, Due)>,
    /// Reports that an owner has not taken in yet.
    exits: Vec<Exit>,
    tally: Tally,
}

impl<'a> Pool<'a> {
    pub(super) fn new(
        site: &Site,
        pool: &'a PoolSite,
        node: usize,
        seed: u64,
        seconds: u64,
        faults: Faults,
    ) -> Pool<'a> {
        Pool {
            site: pool,
            node,
            faults,
            start: Instant::now() + Duration::from_secs(100_000),
            now: 0,
            store: CountingStore::default(),
            shard: None,
            owner: 0,
            order: WeightedPolicy::default(),
            cluster: Cluster::new(&pool.hosts),
            arrivals: arrivals(site, pool, seed, seconds),
            truths: BTreeMap::new(),
            accepted: BTreeSet::new(),
            started: BTreeSet::new(),
            due: Vec::new(),
            exits: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Runs until all work has ended, and counts what has not.
    pub(super) fn run(mut self, seconds: u64) -> Tally {
        let end = seconds * 1000;
        self.take_over();
        self.arrivals.reverse();
        while self.now < end || (self.is_busy() && self.now < end + DRAIN_MILLIS) {
            self.step(self.now < end);
        }
        self.count();
        self.tally
    }

    fn is_busy(&self) -> bool {
        let open = self
            .shard
            .as_ref()
            .is_none_or(|shard| shard.open_jobs() > 0 || shard.journal().staged_bytes() > 0);
        open || !self.arrivals.is_empty()
    }

    fn step(&mut self, counts: bool) {
        self.now += STEP_MILLIS;
        if self.faults == Faults::All {
            self.inject(counts);
        }
        let exits = self.cluster.exits(self.now);
        self.exits.extend(exits);
        self.carry_out_due();
        if self.shard.is_some() {
            self.submit();
            self.report_exits();
            self.decide(counts);
        }
        if counts {
            let step = STEP_MILLIS as f64 / 1000.0;
            self.tally.used += self.cluster.used_cores() * step;
            self.tally.capacity += self.cores() * step;
            self.tally.writes = self.store.writes;
            self.tally.bytes = self.store.bytes;
        }
    }

    fn cores(&self) -> f64 {
        self.site.hosts.iter().map(|host| f64::from(host.capacity.cores.0) / 1000.0).sum()
    }

    fn inject(&mut self, begins: bool) {
        if begins && self.now.is_multiple_of(120_000) {
            self.shard = None;
        }
        if self.now % 120_000 == 6_000 && self.shard.is_none() {
            self.take_over();
        }
        if begins && self.now.is_multiple_of(60_000) {
            let host = (self.now / 60_000) as usize % self.site.hosts.len();
            self.cluster.restart(host);
        }
    }

    fn is_store_down(&self) -> bool {
        self.faults == Faults::All && self.now % 200_000 > 190_000
    }

    fn time(&self) -> Now {
        let elapsed = Duration::from_millis(self.now);
        Now { mono: self.start + elapsed, wall: SystemTime::UNIX_EPOCH + elapsed }
    }

    fn take_over(&mut self) {
        self.owner += 1;
        let pool = &self.site.name;
        let member = Member { node: name("n1"), incarnation: Incarnation(self.owner) };
        let Ok(batch) = claim(pool, &member, self.store.head().as_ref()) else { return };
        self.store.commit(&batch);
        let Ok(recovered) = recover(pool, &member, &self.store.range()) else { return };
        // Ended jobs are kept to be counted at the end of the run.
        let limits = Limits { retention: Duration::from_secs(86_400), ..Limits::default() };
        let mut shard = Shard::restore(recovered, limits, self.time());
        shard.set_workers(&self.site.hosts, self.time());
        self.due.retain(|(_, due)| matches!(due, Due::Checkpointed(_)));
        self.shard = Some(shard);
        self.beat();
    }

    fn submit(&mut self) {
        let now = self.time();
        while let Some(arrival) = self.arrivals.pop_if(|arrival| arrival.at_millis <= self.now) {
            let Some(shard) = &mut self.shard else { return };
            let Ok(SubmitOutcome::Staged) = shard.submit(arrival.job, arrival.spec.clone(), now)
            else {
                // The caller sends it again.
                self.arrivals.push(arrival);
                return;
            };
            let class = arrival.spec.class;
            self.truths.insert(arrival.job, (arrival.truth, arrival.at_millis, class));
        }
    }

    fn report_exits(&mut self) {
        let now = self.time();
        let Some(shard) = &mut self.shard else { return };
        for exit in std::mem::take(&mut self.exits) {
            let (job, attempt) = exit.run;
            let Some(instance) = shard.job(job).and_then(|job| job.instance().cloned()) else {
                continue;
            };
            let report = Report::Exited { exit: exit.exit };
            // A report that comes late is refused, as it should be.
            let _ = shard.report(&instance, job, attempt, report, now);
        }
    }

    fn decide(&mut self, counts: bool) {
        let now = self.time();
        if self.now.is_multiple_of(BEAT_MILLIS) {
            self.beat();
        }
        let down = self.is_store_down();
        let Some(shard) = &mut self.shard else { return };
        if self.now.is_multiple_of(TICK_MILLIS) {
            shard.tick(now);
        }
        shard.place(&mut self.order, |_| true, now);
        if let Ok(Some(batch)) = shard.next_batch(now) {
            if down {
                shard.handle_commit(batch.id, Commit::Unreached, now);
            } else {
                if counts {
                    self.tally.periods.insert((self.node, self.now / GAP_MILLIS));
                }
                self.due.push((self.now + STEP_MILLIS, Due::Settle(batch)));
            }
        }
        self.act();
    }

    fn settle(&mut self, batch: &Batch) {
        let now = self.time();
        let Some(shard) = &mut self.shard else { return };
        let done = self.store.commit(batch);
        let commit = done.map_or(Commit::Conflict, |revision| Commit::Done { revision });
        if shard.handle_commit(batch.id, commit, now) == CommitOutcome::ReadHead {
            let _ = shard.handle_head(self.store.head().as_ref(), now);
        }
        self.act();
    }

    fn carry_out_due(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| *at <= now);
        self.due = later;
        let due: Vec<(u64, Due)> = due;
        for (_, due) in due {
            match due {
                Due::Settle(batch) => self.settle(&batch),
                Due::Checkpointed(task) => self.stop(&task, true),
            }
        }
    }

    fn act(&mut self) {
        let Some(shard) = &mut self.shard else { return };
        for action in shard.take_actions() {
            match action {
                Action::Accepted { job } => {
                    self.accepted.insert(job);
                }
                Action::Start(start) => self.start(&start),
                Action::Query(task) => self.query(&task),
                Action::Checkpoint(task) => {
                    let due = self.now + CHECKPOINT_MILLIS;
                    self.due.push((due, Due::Checkpointed(task)));
                }
                Action::Stop(task) => self.stop(&task, false),
                _ => {}
            }
        }
    }

    /// Returns the index of a task's worker, if it is still that incarnation.
    fn host(&self, task: &Task) -> Option<usize> {
        let host = self.cluster.find(&task.instance.worker)?;
        (self.cluster.incarnation(host) == task.instance.incarnation).then_some(host)
    }

    fn start(&mut self, start: &Start) {
        let job = start.task.job;
        let Some(&(truth, submitted, class)) = self.truths.get(&job) else { return };
        if self.started.insert(job) && class == Class::Urgent {
            self.tally.started(self.now - submitted);
        }
        let Some(host) = self.host(&start.task) else { return };
        let left =
            start.resume.as_ref().and_then(|left| std::str::from_utf8(left).ok()?.parse().ok());
        let truth = Truth { run_millis: left.unwrap_or(truth.run_millis), ..truth };
        let run = (job, start.task.attempt);
        if !self.cluster.runs(host, run) {
            self.cluster.start(host, run, truth, self.now);
        }
        self.report(&start.task, Report::Running);
    }

    fn query(&mut self, task: &Task) {
        let Some(host) = self.host(task) else { return };
        let run = (task.job, task.attempt);
        let waits = self.exits.iter().any(|exit| exit.run == run);
        if self.cluster.runs(host, run) {
            self.report(task, Report::Running);
        } else if !waits {
            self.report(task, Report::NeverStarted);
        }
    }

    fn stop(&mut self, task: &Task, checkpoint: bool) {
        let Some(host) = self.host(task) else { return };
        let run: Run = (task.job, task.attempt);
        let Some(left) = self.cluster.stop(host, run, self.now) else { return };
        let checkpoint = checkpoint.then(|| left.to_string().into());
        self.report(task, Report::Stopped { checkpoint });
    }

    fn report(&mut self, task: &Task, report: Report) {
        let now = self.time();
        if let Some(shard) = &mut self.shard {
            // A report that comes late is refused, as it should be.
            let _ = shard.report(&task.instance, task.job, task.attempt, report, now);
        }
    }

    fn beat(&mut self) {
        let now = self.time();
        let Some(shard) = &mut self.shard else { return };
        for (at, host) in self.site.hosts.iter().enumerate() {
            let tasks = self.cluster.usage(at);
            let total =
                tasks.iter().fold(vg_jobs::Resources::ZERO, |sum, (_, used)| sum.plus(used));
            let tasks = tasks.into_iter().map(|((job, attempt), used)| (job, attempt, used));
            let usage = Usage { measured: now.mono, total, tasks: tasks.collect() };
            shard.heartbeat(
                Heartbeat {
                    host: host.host.clone(),
                    incarnation: self.cluster.incarnation(at),
                    sent: now.mono,
                    usage: Some(usage),
                },
                now,
            );
        }
    }

    /// Counts how the jobs ended.
    fn count(&mut self) {
        self.tally.killed = self.cluster.killed;
        for &job in &self.accepted {
            let state = self.shard.as_ref().and_then(|shard| shard.job(job)).map(|job| job.state());
            let class = self.truths.get(&job).map(|(_, _, class)| *class);
            match state {
                Some(JobState::Done { .. }) if class == Some(Class::Background) => {
                    self.tally.background += 1;
                }
                Some(JobState::Unknown) => self.tally.unknown += 1,
                Some(state) if state.is_final() => {}
                _ => self.tally.lost += 1,
            }
        }
    }
}
