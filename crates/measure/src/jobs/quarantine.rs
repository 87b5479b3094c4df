//! How soon a worker that fails everything is found, and what it costs.

use std::collections::HashMap;
use std::io::Write;

use vg_base::prelude::*;
use vg_jobs::{
    Action, Commit, Heartbeat, JobState, Limits, Now, Report, Resources, RoundReport, Shard, Start,
    Usage, WeightedPolicy, claim, recover,
};

use super::site::{PoolSite, Site, name};
use super::store::CountingStore;
use super::work::{Arrival, Truth, arrivals};
use crate::Error;
use crate::report::Table;

/// Time of a turn: place, commit, run, report.
const TURN_MILLIS: u64 = 300;

/// Turns of one run.
const TURNS: usize = 40;

/// Seconds of arrivals, spread over the turns.
const SECONDS: u64 = 600;

/// Compares with and without quarantine.
pub(super) fn report(site: &Site, seed: u64, out: &mut impl Write) -> Result<(), Error> {
    writeln!(
        out,
        "\nquarantine: one worker of the pool fails each job; jobs come and end in turns"
    )?;
    writeln!(out, "of {TURN_MILLIS} ms of model time")?;
    let mut table = Table::new(&[
        "policy",
        "jobs",
        "failed runs",
        "failed for good, idempotent",
        "failed for good, others",
        "found after",
    ]);
    for (policy, quarantine) in [("verbenagap", true), ("no quarantine", false)] {
        let Some(pool) = site.pools.last() else { return Ok(()) };
        let jobs = arrivals(site, pool, seed, SECONDS);
        let row = spoiled(pool, &jobs, quarantine);
        let found = row.found.map_or("never".to_owned(), |millis| format!("{millis} ms"));
        table.row(&[&policy, &row.jobs, &row.failures, &row.idempotent, &row.others, &found]);
    }
    table.write(out)?;
    Ok(())
}

#[derive(Debug, Default)]
struct Spoiled {
    jobs: usize,
    failures: usize,
    idempotent: usize,
    others: usize,
    found: Option<u64>,
}

fn spoiled(pool: &PoolSite, jobs: &[Arrival], quarantine: bool) -> Spoiled {
    let never = Limits {
        probation_failures: usize::MAX,
        quarantine_failures: usize::MAX,
        ..Limits::default()
    };
    let mut turns = Turns::new(pool, if quarantine { Limits::default() } else { never });
    let mut row = Spoiled::default();
    let mut first = None;
    let bad = &pool.hosts[0].host;
    for part in jobs.chunks(jobs.len() / TURNS + 1) {
        turns.offer(part);
        row.jobs += part.len();
        for start in turns.starts() {
            let fails = start.task.instance.worker == *bad;
            row.failures += usize::from(fails);
            if fails {
                first.get_or_insert(turns.millis);
            }
            turns.report(&start, Report::Exited { exit: i32::from(fails) });
        }
        turns.advance(TURN_MILLIS);
        let found = !turns.shard.quarantined_workers().is_empty();
        if found && row.found.is_none() {
            row.found = first.map(|first| turns.millis - first);
        }
    }
    let failed = |idempotent: bool| {
        let failed = turns.shard.jobs().filter(|job| {
            matches!(job.state(), JobState::Failed { .. }) && job.spec().idempotent == idempotent
        });
        failed.count()
    };
    (row.idempotent, row.others) = (failed(true), failed(false));
    row
}

/// A shard whose store always answers, driven in turns.
#[derive(Debug)]
pub(super) struct Turns<'a> {
    pool: &'a PoolSite,
    start: Instant,
    millis: u64,
    pub(super) store: CountingStore,
    pub(super) shard: Shard,
    order: WeightedPolicy,
    truths: HashMap<JobId, Truth>,
}

impl<'a> Turns<'a> {
    pub(super) fn new(pool: &'a PoolSite, limits: Limits) -> Turns<'a> {
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
        let order = WeightedPolicy::default();
        let mut turns =
            Turns { pool, start, millis: 0, store, shard, order, truths: HashMap::new() };
        turns.shard.set_workers(&pool.hosts, now);
        turns.beat();
        turns
    }

    pub(super) fn now(&self) -> Now {
        let elapsed = Duration::from_millis(self.millis);
        Now { mono: self.start + elapsed, wall: SystemTime::UNIX_EPOCH + elapsed }
    }

    pub(super) fn advance(&mut self, millis: u64) {
        self.millis += millis;
        self.beat();
    }

    fn beat(&mut self) {
        for host in &self.pool.hosts {
            self.beat_one(host.host.clone(), None);
        }
    }

    fn beat_one(&mut self, host: HostId, usage: Option<Usage>) {
        let now = self.now();
        let beat = Heartbeat { host, incarnation: Incarnation(1), sent: now.mono, usage };
        self.shard.heartbeat(beat, now);
    }

    pub(super) fn offer(&mut self, jobs: &[Arrival]) {
        let now = self.now();
        for job in jobs {
            self.truths.insert(job.job, job.truth);
            // What no host can hold is refused and left out.
            let _ = self.shard.submit(job.job, job.spec.clone(), now);
            if self.shard.journal().staged_bytes() > 100_000 {
                self.commit();
            }
        }
        self.commit();
    }

    /// Runs all waiting jobs to their ends, with their usage reported.
    pub(super) fn run_all(&mut self) {
        loop {
            let starts = self.starts();
            if starts.is_empty() {
                return;
            }
            self.advance(TURN_MILLIS);
            let measured = self.now().mono;
            let truths = &self.truths;
            let usage = |host: &HostId| {
                let here = starts.iter().filter(|start| start.task.instance.worker == *host);
                let used = |start: &Start| {
                    let truth = truths.get(&start.task.job)?;
                    Some((start.task.job, start.task.attempt, truth.size))
                };
                let tasks = here.filter_map(used).collect();
                Some(Usage { measured, total: Resources::ZERO, tasks })
            };
            let beats: Vec<_> =
                self.pool.hosts.iter().map(|host| (host.host.clone(), usage(&host.host))).collect();
            for (host, usage) in beats {
                self.beat_one(host, usage);
            }
            for start in &starts {
                self.report(start, Report::Exited { exit: 0 });
            }
        }
    }

    pub(super) fn commit(&mut self) {
        let now = self.now();
        while let Ok(Some(batch)) = self.shard.next_batch(now) {
            let Some(revision) = self.store.commit(&batch) else { return };
            self.shard.handle_commit(batch.id, Commit::Done { revision }, now);
        }
    }

    pub(super) fn place(&mut self) -> RoundReport {
        let now = self.now();
        self.shard.place(&mut self.order, |_| true, now)
    }

    /// Places and commits; gives the starts, which run from now on.
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

    pub(super) fn report(&mut self, start: &Start, report: Report) {
        let (task, now) = (&start.task, self.now());
        for report in [Report::Running, report] {
            // The report is about the start that was just sent.
            let _ = self.shard.report(&task.instance, task.job, task.attempt, report, now);
        }
        self.commit();
    }
}
