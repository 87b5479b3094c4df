//! Measures how soon a worker that fails every job is quarantined, and how many jobs fail
//! until then.

use std::collections::HashMap;
use std::io::Write;

use vg_base::prelude::*;
use vg_jobs::{
    Action, Commit, Heartbeat, JobState, Limits, Now, Report, Resources, RoundReport, Shard, Start,
    Usage, WeightedPolicy, claim, recover,
};

use super::site::{PoolSite, Site, name};
use super::store::CountingStore;
use super::work::{ActualUse, Arrival, arrivals};
use crate::Error;
use crate::report::Table;

/// Simulated time of a round (place, commit, run and report) in milliseconds.
const ROUND_MILLIS: u64 = 300;

/// Number of rounds that the jobs are submitted in.
const ROUND_COUNT: usize = 40;

/// Simulated seconds of submissions, spread over the rounds.
const SECONDS: u64 = 600;

/// Number of staged bytes above which [`RoundDriver::submit`] commits before it goes on. It
/// is well below the default of [`Limits::max_staged_bytes`], 1 MiB, from which on the shard
/// refuses submissions.
const COMMIT_BYTES: usize = 100_000;

/// Compares runs with and without quarantine.
pub(super) fn report(site: &Site, seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(
        out,
        "\nquarantine: one worker of the pool fails every job; jobs come and end in rounds"
    )?;
    writeln!(out, "of {ROUND_MILLIS} ms of simulated time")?;
    let mut table = Table::new(&[
        "policy",
        "jobs",
        "failed attempts",
        "failed jobs, idempotent",
        "failed jobs, others",
        "quarantined after",
    ]);
    for (policy, quarantine) in [("verbenagap", true), ("no quarantine", false)] {
        let Some(pool) = site.pools.last() else { return Ok(()) };
        let jobs = arrivals(site, pool, seed, SECONDS);
        let row = run_with_failing_worker(pool, &jobs, quarantine);
        let detected =
            row.detected_after.map_or("never".to_owned(), |millis| format!("{millis} ms"));
        table.row(&[&policy, &row.jobs, &row.failures, &row.idempotent, &row.others, &detected]);
    }
    table.write(out)?;
    Ok(())
}

/// The figures of one run.
#[derive(Debug, Default)]
struct QuarantineFigures {
    jobs: usize,
    /// Failed attempts.
    failures: usize,
    /// Idempotent jobs that failed finally.
    idempotent: usize,
    /// Other jobs that failed finally.
    others: usize,
    /// Milliseconds from the first failure to the quarantine of the worker.
    detected_after: Option<u64>,
}

/// Runs the jobs in rounds while the first worker fails each of its tasks.
fn run_with_failing_worker(
    pool: &PoolSite,
    jobs: &[Arrival],
    quarantine: bool,
) -> QuarantineFigures {
    let no_quarantine = Limits {
        probation_failures: usize::MAX,
        quarantine_failures: usize::MAX,
        ..Limits::default()
    };
    let mut driver =
        RoundDriver::new(pool, if quarantine { Limits::default() } else { no_quarantine });
    let mut row = QuarantineFigures::default();
    let mut first_failure = None;
    let failing_worker = &pool.hosts[0].host;
    for part in jobs.chunks(jobs.len() / ROUND_COUNT + 1) {
        driver.submit(part);
        row.jobs += part.len();
        for start in driver.starts() {
            let fails = start.task.instance.worker == *failing_worker;
            row.failures += usize::from(fails);
            if fails {
                first_failure.get_or_insert(driver.millis);
            }
            driver.report(&start, Report::Exited { exit: i32::from(fails) });
        }
        driver.advance(ROUND_MILLIS);
        let quarantined = !driver.shard.quarantined_workers().is_empty();
        if quarantined && row.detected_after.is_none() {
            row.detected_after = first_failure.map(|first| driver.millis - first);
        }
    }
    let failed = |idempotent: bool| {
        let failed = driver.shard.jobs().filter(|job| {
            matches!(job.state(), JobState::Failed { .. }) && job.spec().idempotent == idempotent
        });
        failed.count()
    };
    (row.idempotent, row.others) = (failed(true), failed(false));
    row
}

/// Drives a shard in rounds, with a store that never fails. The measurements of packing,
/// placement rounds and recovery use the driver too.
#[derive(Debug)]
pub(super) struct RoundDriver<'a> {
    pool: &'a PoolSite,
    start: Instant,
    /// Simulated time in milliseconds.
    millis: u64,
    pub(super) store: CountingStore,
    pub(super) shard: Shard,
    policy: WeightedPolicy,
    actual_use: HashMap<JobId, ActualUse>,
}

impl<'a> RoundDriver<'a> {
    /// Returns a driver whose shard has claimed an empty pool.
    pub(super) fn new(pool: &'a PoolSite, limits: Limits) -> RoundDriver<'a> {
        let mut store = CountingStore::default();
        let member = Member { node: name("n1"), incarnation: Incarnation(1) };
        let start = Instant::now() + Duration::from_secs(100_000);
        let now = Now { mono: start, wall: SystemTime::UNIX_EPOCH };
        let limits =
            Limits { batch_delay: Duration::ZERO, batch_interval: Duration::ZERO, ..limits };
        let recovered = claim(&pool.name, &member, None)
            .map(|batch| store.commit(&batch))
            .and_then(|_| recover(&pool.name, &member, &store.range()));
        let Ok(recovered) = recovered else { unreachable!("an empty journal can be read") };
        let shard = Shard::restore(recovered, limits, now);
        let policy = WeightedPolicy::default();
        let mut driver = RoundDriver {
            pool,
            start,
            millis: 0,
            store,
            shard,
            policy,
            actual_use: HashMap::new(),
        };
        driver.shard.set_workers(&pool.hosts, now);
        driver.send_heartbeats();
        driver
    }

    /// Returns the current time of both clocks.
    pub(super) fn now(&self) -> Now {
        let elapsed = Duration::from_millis(self.millis);
        Now { mono: self.start + elapsed, wall: SystemTime::UNIX_EPOCH + elapsed }
    }

    /// Advances the time and sends the heartbeats of all workers.
    pub(super) fn advance(&mut self, millis: u64) {
        self.millis += millis;
        self.send_heartbeats();
    }

    fn send_heartbeats(&mut self) {
        for host in &self.pool.hosts {
            self.send_heartbeat(host.host.clone(), None);
        }
    }

    fn send_heartbeat(&mut self, host: HostId, usage: Option<Usage>) {
        let now = self.now();
        let heartbeat = Heartbeat { host, incarnation: Incarnation(1), sent: now.mono, usage };
        self.shard.heartbeat(heartbeat, now);
    }

    /// Submits jobs and commits them to the store, in between too, so that the shard does not
    /// refuse a job because too many bytes are staged.
    pub(super) fn submit(&mut self, jobs: &[Arrival]) {
        let now = self.now();
        for job in jobs {
            self.actual_use.insert(job.job, job.actual);
            // A refused job is left out. The shard can refuse one that is larger than every
            // worker (`CannotRun`) or exceeds `Limits::max_open_jobs` (`TooManyJobs`); the
            // sizes and numbers of jobs drawn at present do neither. The other refusals
            // cannot occur: specifications are valid, ids differ, the pool keeps its owner,
            // and few bytes are staged.
            let _ = self.shard.submit(job.job, job.spec.clone(), now);
            if self.shard.journal().staged_bytes() > COMMIT_BYTES {
                self.commit();
            }
        }
        self.commit();
    }

    /// Runs all waiting jobs to their end and reports their actual use.
    pub(super) fn run_all(&mut self) {
        loop {
            let starts = self.starts();
            if starts.is_empty() {
                return;
            }
            self.advance(ROUND_MILLIS);
            let measured = self.now().mono;
            let actual_use = &self.actual_use;
            let usage = |host: &HostId| {
                let here = starts.iter().filter(|start| start.task.instance.worker == *host);
                let used = |start: &Start| {
                    let actual = actual_use.get(&start.task.job)?;
                    Some((start.task.job, start.task.attempt, actual.size))
                };
                let tasks = here.filter_map(used).collect();
                Some(Usage { measured, total: Resources::ZERO, tasks })
            };
            let heartbeats: Vec<_> =
                self.pool.hosts.iter().map(|host| (host.host.clone(), usage(&host.host))).collect();
            for (host, usage) in heartbeats {
                self.send_heartbeat(host, usage);
            }
            for start in &starts {
                self.report(start, Report::Exited { exit: 0 });
            }
        }
    }

    /// Commits all staged changes.
    pub(super) fn commit(&mut self) {
        let now = self.now();
        while let Ok(Some(batch)) = self.shard.next_batch(now) {
            let Some(revision) = self.store.commit(&batch) else { return };
            self.shard.handle_commit(batch.id, Commit::Done { revision }, now);
        }
    }

    /// Places waiting jobs, without committing.
    pub(super) fn place(&mut self) -> RoundReport {
        let now = self.now();
        self.shard.place(&mut self.policy, |_| true, now)
    }

    /// Places waiting jobs, commits, and returns the resulting start commands.
    pub(super) fn starts(&mut self) -> Vec<Start> {
        self.shard.take_actions();
        self.place();
        self.commit();
        let start = |action: Action| match action {
            Action::Start(start) => Some(start),
            _ => None,
        };
        self.shard.take_actions().into_iter().filter_map(start).collect()
    }

    /// Reports a task as running and then with `report`, and commits.
    pub(super) fn report(&mut self, start: &Start, report: Report) {
        let (task, now) = (&start.task, self.now());
        for report in [Report::Running, report] {
            // The shard accepts the report, since the attempt is the current one.
            let _ = self.shard.report(&task.instance, task.job, task.attempt, report, now);
        }
        self.commit();
    }
}
