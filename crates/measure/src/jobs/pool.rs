//! Simulates one pool whose jobs are scheduled by the product's shard.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_jobs::{
    Action, Batch, Class, Commit, CommitOutcome, Heartbeat, JobState, Limits, Now, Report, Shard,
    Start, SubmitOutcome, Task, Usage, WeightedPolicy, claim, recover,
};

use super::cluster::{Cluster, Exit, JobAttempt};
use super::site::{PoolSite, Site, name};
use super::store::CountingStore;
use super::tally::Tally;
use super::work::{ActualUse, Arrival, arrivals};

/// Step of simulated time and duration of a store write, in milliseconds.
const STEP_MILLIS: u64 = 50;

/// Period of worker heartbeats in milliseconds.
const HEARTBEAT_MILLIS: u64 = 2000;
/// Period of the shard's ticks in milliseconds.
const TICK_MILLIS: u64 = 250;

/// Shortest time between two batches in milliseconds, as in the default [`Limits`].
const BATCH_INTERVAL_MILLIS: u64 = 250;

/// Time that a task takes to write a checkpoint, in milliseconds.
const CHECKPOINT_MILLIS: u64 = 300;

/// Simulated time after the last submission in which all jobs should end, in milliseconds.
const DRAIN_MILLIS: u64 = 3_600_000;

/// The faults that are injected into a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FaultMode {
    /// No faults.
    None,
    /// Loss of the owner, store outages and worker restarts.
    All,
}

/// The end of something that takes simulated time.
#[derive(Debug)]
enum Completion {
    /// A task has written its checkpoint and stops.
    Checkpoint(Task),
    /// The store applies a batch.
    Commit(Batch),
}

/// One simulated pool.
#[derive(Debug)]
pub(super) struct Pool<'a> {
    site: &'a PoolSite,
    /// Index of the entry host that owns the pool.
    node: usize,
    faults: FaultMode,
    start: Instant,
    /// Simulated time in milliseconds.
    now: u64,
    store: CountingStore,
    /// `None` while the pool has no owner.
    shard: Option<Shard>,
    /// Incarnation of the owner.
    owner: u64,
    policy: WeightedPolicy,
    cluster: Cluster,
    arrivals: Vec<Arrival>,
    /// Actual use, time of submission in milliseconds, and class of each submitted job.
    submitted: BTreeMap<JobId, (ActualUse, u64, Class)>,
    accepted: BTreeSet<JobId>,
    started: BTreeSet<JobId>,
    /// Completions with their times in milliseconds.
    due: Vec<(u64, Completion)>,
    /// Ends of tasks that have not been reported to an owner.
    exits: Vec<Exit>,
    tally: Tally,
}

impl<'a> Pool<'a> {
    /// Returns a pool in which no job has run yet, with the jobs that are submitted within
    /// `seconds`.
    pub(super) fn new(
        site: &Site,
        pool: &'a PoolSite,
        node: usize,
        seed: u64,
        seconds: u64,
        faults: FaultMode,
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
            policy: WeightedPolicy::default(),
            cluster: Cluster::new(&pool.hosts),
            arrivals: arrivals(site, pool, seed, seconds),
            submitted: BTreeMap::new(),
            accepted: BTreeSet::new(),
            started: BTreeSet::new(),
            due: Vec::new(),
            exits: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Runs until all jobs have ended or [`DRAIN_MILLIS`] have passed, and returns the figures.
    /// The figures of use and writes cover only the first `seconds`.
    pub(super) fn run(mut self, seconds: u64) -> Tally {
        let end = seconds * 1000;
        self.claim_pool();
        // The next job to submit must be last, since `submit_jobs` takes jobs from the end.
        self.arrivals.reverse();
        while self.now < end || (self.is_busy() && self.now < end + DRAIN_MILLIS) {
            self.step(self.now < end);
        }
        self.count_outcomes();
        self.tally
    }

    /// Whether jobs are open, staged or not yet submitted. A pool without an owner counts as
    /// busy.
    fn is_busy(&self) -> bool {
        let has_work = self
            .shard
            .as_ref()
            .is_none_or(|shard| shard.open_jobs() > 0 || shard.journal().staged_bytes() > 0);
        has_work || !self.arrivals.is_empty()
    }

    /// Advances by one step. Use and writes are counted only if `counted` is true.
    fn step(&mut self, counted: bool) {
        self.now += STEP_MILLIS;
        if self.faults == FaultMode::All {
            self.inject_faults(counted);
        }
        let exits = self.cluster.exits(self.now);
        self.exits.extend(exits);
        self.process_completions();
        if self.shard.is_some() {
            self.submit_jobs();
            self.report_exits();
            self.schedule(counted);
        }
        if counted {
            let step = STEP_MILLIS as f64 / 1000.0;
            self.tally.used_core_seconds += self.cluster.used_cores() * step;
            self.tally.core_seconds += self.cores() * step;
            self.tally.writes = self.store.writes;
            self.tally.bytes = self.store.bytes;
        }
    }

    /// Returns the number of cores of the pool.
    fn cores(&self) -> f64 {
        self.site.hosts.iter().map(|host| f64::from(host.capacity.cores.0) / 1000.0).sum()
    }

    /// Injects the faults that are due. No new fault begins if `may_begin` is false.
    fn inject_faults(&mut self, may_begin: bool) {
        if may_begin && self.now.is_multiple_of(120_000) {
            self.shard = None;
        }
        if self.now % 120_000 == 6_000 && self.shard.is_none() {
            self.claim_pool();
        }
        if may_begin && self.now.is_multiple_of(60_000) {
            let host = (self.now / 60_000) as usize % self.site.hosts.len();
            self.cluster.restart(host);
        }
    }

    /// Whether the store is down, as for the last 10 s of each 200 s in a run with faults.
    fn is_store_down(&self) -> bool {
        self.faults == FaultMode::All && self.now % 200_000 > 190_000
    }

    /// Returns the current time of both clocks.
    fn time(&self) -> Now {
        let elapsed = Duration::from_millis(self.now);
        Now { mono: self.start + elapsed, wall: SystemTime::UNIX_EPOCH + elapsed }
    }

    /// Claims the pool for a new owner, which recovers its jobs from the store.
    fn claim_pool(&mut self) {
        self.owner += 1;
        let pool = &self.site.name;
        let member = Member { node: name("n1"), incarnation: Incarnation(self.owner) };
        let Ok(batch) = claim(pool, &member, self.store.head().as_ref()) else { return };
        self.store.commit(&batch);
        let Ok(recovered) = recover(pool, &member, &self.store.range()) else { return };
        // The shard keeps ended jobs, so that they can be counted at the end of the run.
        let limits = Limits { retention: Duration::from_secs(86_400), ..Limits::default() };
        let mut shard = Shard::restore(recovered, limits, self.time());
        shard.set_workers(&self.site.hosts, self.time());
        // Batches of the former owner that the store has not applied are lost.
        self.due.retain(|(_, completion)| matches!(completion, Completion::Checkpoint(_)));
        self.shard = Some(shard);
        self.send_heartbeats();
    }

    /// Submits the jobs that have arrived, until the shard refuses one.
    fn submit_jobs(&mut self) {
        let now = self.time();
        while let Some(arrival) = self.arrivals.pop_if(|arrival| arrival.at_millis <= self.now) {
            let Some(shard) = &mut self.shard else { return };
            let Ok(SubmitOutcome::Staged) = shard.submit(arrival.job, arrival.spec.clone(), now)
            else {
                // The caller submits the job again later.
                self.arrivals.push(arrival);
                return;
            };
            let class = arrival.spec.class;
            self.submitted.insert(arrival.job, (arrival.actual, arrival.at_millis, class));
        }
    }

    /// Reports the tasks that have ended to the shard.
    fn report_exits(&mut self) {
        let now = self.time();
        let Some(shard) = &mut self.shard else { return };
        for exit in std::mem::take(&mut self.exits) {
            let (job, attempt) = exit.attempt;
            let Some(instance) = shard.job(job).and_then(|job| job.instance().cloned()) else {
                continue;
            };
            let report = Report::Exited { exit: exit.exit };
            // The shard refuses reports about attempts that are not current.
            let _ = shard.report(&instance, job, attempt, report, now);
        }
    }

    /// Runs one round of the shard: heartbeats, tick, placement and the next batch.
    fn schedule(&mut self, counted: bool) {
        let now = self.time();
        if self.now.is_multiple_of(HEARTBEAT_MILLIS) {
            self.send_heartbeats();
        }
        let store_down = self.is_store_down();
        let Some(shard) = &mut self.shard else { return };
        if self.now.is_multiple_of(TICK_MILLIS) {
            shard.tick(now);
        }
        shard.place(&mut self.policy, |_| true, now);
        if let Ok(Some(batch)) = shard.next_batch(now) {
            if store_down {
                shard.handle_commit(batch.id, Commit::Unreached, now);
            } else {
                if counted {
                    self.tally.intervals.insert((self.node, self.now / BATCH_INTERVAL_MILLIS));
                }
                self.due.push((self.now + STEP_MILLIS, Completion::Commit(batch)));
            }
        }
        self.execute_actions();
    }

    /// Applies a batch in the store and reports the result to the shard.
    fn commit(&mut self, batch: &Batch) {
        let now = self.time();
        let Some(shard) = &mut self.shard else { return };
        let revision = self.store.commit(batch);
        let result = revision.map_or(Commit::Conflict, |revision| Commit::Done { revision });
        if shard.handle_commit(batch.id, result, now) == CommitOutcome::ReadHead {
            let _ = shard.handle_head(self.store.head().as_ref(), now);
        }
        self.execute_actions();
    }

    /// Processes the completions that are due.
    fn process_completions(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.due).into_iter().partition(|(at, _)| *at <= now);
        self.due = later;
        let due: Vec<(u64, Completion)> = due;
        for (_, completion) in due {
            match completion {
                Completion::Commit(batch) => self.commit(&batch),
                Completion::Checkpoint(task) => self.stop_task(&task, true),
            }
        }
    }

    /// Executes the actions that the shard requests.
    fn execute_actions(&mut self) {
        let Some(shard) = &mut self.shard else { return };
        for action in shard.take_actions() {
            match action {
                Action::Accepted { job } => {
                    self.accepted.insert(job);
                }
                Action::Start(start) => self.start_task(&start),
                Action::Query(task) => self.answer_query(&task),
                Action::Checkpoint(task) => {
                    let due = self.now + CHECKPOINT_MILLIS;
                    self.due.push((due, Completion::Checkpoint(task)));
                }
                Action::Stop(task) => self.stop_task(&task, false),
                _ => {}
            }
        }
    }

    /// Returns the index of the worker of a task, or `None` if the worker has restarted since.
    fn find_host(&self, task: &Task) -> Option<usize> {
        let host = self.cluster.find(&task.instance.worker)?;
        (self.cluster.incarnation(host) == task.instance.incarnation).then_some(host)
    }

    /// Starts a task, from its checkpoint if it has one, and reports it as running.
    fn start_task(&mut self, start: &Start) {
        let job = start.task.job;
        let Some(&(actual, submitted_at, class)) = self.submitted.get(&job) else { return };
        if self.started.insert(job) && class == Class::Urgent {
            self.tally.record_start(self.now - submitted_at);
        }
        let Some(host) = self.find_host(&start.task) else { return };
        let remaining =
            start.resume.as_ref().and_then(|saved| std::str::from_utf8(saved).ok()?.parse().ok());
        let actual = ActualUse { run_millis: remaining.unwrap_or(actual.run_millis), ..actual };
        let attempt = (job, start.task.attempt);
        if !self.cluster.is_running(host, attempt) {
            self.cluster.start(host, attempt, actual, self.now);
        }
        self.report(&start.task, Report::Running);
    }

    /// Reports whether a task is running or was never started. The end of a task is reported
    /// by [`Pool::report_exits`].
    fn answer_query(&mut self, task: &Task) {
        let Some(host) = self.find_host(task) else { return };
        let attempt = (task.job, task.attempt);
        let has_exited = self.exits.iter().any(|exit| exit.attempt == attempt);
        if self.cluster.is_running(host, attempt) {
            self.report(task, Report::Running);
        } else if !has_exited {
            self.report(task, Report::NeverStarted);
        }
    }

    /// Stops a task and reports it, with a checkpoint of the remaining time if one was
    /// requested.
    fn stop_task(&mut self, task: &Task, checkpoint: bool) {
        let Some(host) = self.find_host(task) else { return };
        let attempt: JobAttempt = (task.job, task.attempt);
        let Some(remaining) = self.cluster.stop(host, attempt, self.now) else { return };
        let checkpoint = checkpoint.then(|| remaining.to_string().into());
        self.report(task, Report::Stopped { checkpoint });
    }

    /// Reports about a task to the shard, if the pool has an owner.
    fn report(&mut self, task: &Task, report: Report) {
        let now = self.time();
        if let Some(shard) = &mut self.shard {
            // The shard refuses reports about attempts that are not current.
            let _ = shard.report(&task.instance, task.job, task.attempt, report, now);
        }
    }

    /// Sends the heartbeats of all workers to the shard.
    fn send_heartbeats(&mut self) {
        let now = self.time();
        let Some(shard) = &mut self.shard else { return };
        for (index, host) in self.site.hosts.iter().enumerate() {
            let tasks = self.cluster.usage(index);
            let total =
                tasks.iter().fold(vg_jobs::Resources::ZERO, |sum, (_, used)| sum.plus(used));
            let tasks = tasks.into_iter().map(|((job, attempt), used)| (job, attempt, used));
            let usage = Usage { measured: now.mono, total, tasks: tasks.collect() };
            shard.heartbeat(
                Heartbeat {
                    host: host.host.clone(),
                    incarnation: self.cluster.incarnation(index),
                    sent: now.mono,
                    usage: Some(usage),
                },
                now,
            );
        }
    }

    /// Counts the accepted jobs by their state at the end of the run.
    fn count_outcomes(&mut self) {
        self.tally.memory_kills = self.cluster.memory_kills;
        for &job in &self.accepted {
            let state = self.shard.as_ref().and_then(|shard| shard.job(job)).map(|job| job.state());
            let class = self.submitted.get(&job).map(|(_, _, class)| *class);
            match state {
                Some(JobState::Done { .. }) if class == Some(Class::Background) => {
                    self.tally.background_done += 1;
                }
                Some(JobState::Unknown) => self.tally.unknown += 1,
                Some(state) if state.is_final() => {}
                _ => self.tally.lost += 1,
            }
        }
    }
}
