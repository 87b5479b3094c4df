//! Baseline: starts jobs in the order of arrival on the first worker that has room for
//! their declared size, with one store write per change of a job.

use std::collections::{BTreeMap, VecDeque};

use vg_base::prelude::*;
use vg_jobs::{Attempt, Class, Resources};

use super::cluster::Cluster;
use super::site::{PoolSite, Site};
use super::tally::Tally;
use super::work::{Arrival, arrivals};

/// Step of simulated time in milliseconds.
const STEP_MILLIS: u64 = 50;

/// Bytes of the record of one job with its key.
const RECORD_BYTES: u64 = 400;

/// Attempts after which a job fails.
const MAX_ATTEMPTS: u32 = 3;

/// One simulated pool under the baseline.
#[derive(Debug)]
pub(super) struct FirstFit {
    cores: f64,
    /// Free capacity of each worker by declared sizes.
    free: Vec<Resources>,
    cluster: Cluster,
    arrivals: VecDeque<Arrival>,
    waiting: VecDeque<(Arrival, Attempt)>,
    running: BTreeMap<JobId, (Arrival, Attempt, usize)>,
    /// Simulated time in milliseconds.
    now: u64,
    tally: Tally,
}

impl FirstFit {
    /// Returns a pool in which no job has run yet, with the jobs that are submitted within
    /// `seconds`.
    pub(super) fn new(site: &Site, pool: &PoolSite, seed: u64, seconds: u64) -> FirstFit {
        FirstFit {
            cores: pool.hosts.iter().map(|host| f64::from(host.capacity.cores.0) / 1000.0).sum(),
            free: pool.hosts.iter().map(|host| host.capacity).collect(),
            cluster: Cluster::new(&pool.hosts),
            arrivals: arrivals(site, pool, seed, seconds).into(),
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            now: 0,
            tally: Tally::default(),
        }
    }

    /// Runs until all jobs have ended, for at most an hour after the last submission, and
    /// returns the figures. The figures of use and writes cover only the first `seconds`.
    pub(super) fn run(mut self, seconds: u64) -> Tally {
        while self.now < seconds * 1000 {
            self.step();
            self.tally.used_core_seconds += self.cluster.used_cores() * STEP_MILLIS as f64 / 1000.0;
            self.tally.core_seconds += self.cores * STEP_MILLIS as f64 / 1000.0;
        }
        let (writes, bytes) = (self.tally.writes, self.tally.bytes);
        // Let the remaining jobs end, as the other policies do.
        while (!self.waiting.is_empty() || !self.running.is_empty() || !self.arrivals.is_empty())
            && self.now < seconds * 1000 + 3_600_000
        {
            self.step();
        }
        self.tally.memory_kills = self.cluster.memory_kills;
        Tally { writes, bytes, ..self.tally }
    }

    /// Advances by one step: submissions, ends of tasks, and starts.
    fn step(&mut self) {
        self.now += STEP_MILLIS;
        let due = self.arrivals.partition_point(|each| each.at_millis <= self.now);
        for arrival in self.arrivals.drain(..due).collect::<Vec<Arrival>>() {
            self.waiting.push_back((arrival, Attempt(1)));
            self.count_write();
        }
        for exit in self.cluster.exits(self.now) {
            self.end_task(exit.attempt.0, exit.exit);
        }
        while self.start_first() {}
    }

    /// Counts the store write of one change.
    fn count_write(&mut self) {
        self.tally.writes += 1;
        self.tally.bytes += RECORD_BYTES;
    }

    /// Ends a task. A failed job is queued again unless it has used all attempts.
    fn end_task(&mut self, job: JobId, exit: i32) {
        let Some((arrival, attempt, host)) = self.running.remove(&job) else { return };
        self.free[host] = self.free[host].plus(&arrival.spec.size);
        self.count_write();
        if exit == 0 {
            self.tally.background_done += u64::from(arrival.spec.class == Class::Background);
        } else if attempt.0 < MAX_ATTEMPTS {
            self.waiting.push_back((arrival, attempt.next()));
        }
    }

    /// Starts the job at the head of the queue. Returns false if no worker has room for it or
    /// no job is waiting.
    fn start_first(&mut self) -> bool {
        let Some((arrival, _)) = self.waiting.front() else { return false };
        let size = arrival.spec.size;
        let Some(host) = self.free.iter().position(|free| size.fits(free)) else { return false };
        let Some((arrival, attempt)) = self.waiting.pop_front() else { return false };
        if arrival.spec.class == Class::Urgent && attempt == Attempt(1) {
            self.tally.record_start(self.now - arrival.at_millis);
        }
        self.free[host] = self.free[host].minus(&size);
        self.cluster.start(host, (arrival.job, attempt), arrival.actual, self.now);
        self.running.insert(arrival.job, (arrival, attempt, host));
        self.count_write();
        true
    }
}
