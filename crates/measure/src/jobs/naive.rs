//! The baseline: first fit by declared size, in the order of arrival, with one
//! store write for each change of a job.

use std::collections::{BTreeMap, VecDeque};

use vg_base::prelude::*;
use vg_jobs::{Attempt, Class, Resources};

use super::cluster::Cluster;
use super::site::{PoolSite, Site};
use super::tally::Tally;
use super::work::{Arrival, arrivals};

const STEP_MILLIS: u64 = 50;

/// Bytes of a record of one job and its key.
const RECORD_BYTES: u64 = 400;

/// Attempts of a job.
const ATTEMPTS: u32 = 3;

/// One pool under the baseline.
#[derive(Debug)]
pub(super) struct Naive {
    cores: f64,
    room: Vec<Resources>,
    cluster: Cluster,
    arrivals: VecDeque<Arrival>,
    waiting: VecDeque<(Arrival, Attempt)>,
    running: BTreeMap<JobId, (Arrival, Attempt, usize)>,
    now: u64,
    tally: Tally,
}

impl Naive {
    pub(super) fn new(site: &Site, pool: &PoolSite, seed: u64, seconds: u64) -> Naive {
        Naive {
            cores: pool.hosts.iter().map(|host| f64::from(host.capacity.cores.0) / 1000.0).sum(),
            room: pool.hosts.iter().map(|host| host.capacity).collect(),
            cluster: Cluster::new(&pool.hosts),
            arrivals: arrivals(site, pool, seed, seconds).into(),
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            now: 0,
            tally: Tally::default(),
        }
    }

    pub(super) fn run(mut self, seconds: u64) -> Tally {
        while self.now < seconds * 1000 {
            self.step();
            self.tally.used += self.cluster.used_cores() * STEP_MILLIS as f64 / 1000.0;
            self.tally.capacity += self.cores * STEP_MILLIS as f64 / 1000.0;
        }
        let (writes, bytes) = (self.tally.writes, self.tally.bytes);
        // Let the rest end, as the other policies do.
        while (!self.waiting.is_empty() || !self.running.is_empty() || !self.arrivals.is_empty())
            && self.now < seconds * 1000 + 3_600_000
        {
            self.step();
        }
        self.tally.killed = self.cluster.killed;
        Tally { writes, bytes, ..self.tally }
    }

    fn step(&mut self) {
        self.now += STEP_MILLIS;
        let due = self.arrivals.partition_point(|each| each.at_millis <= self.now);
        for arrival in self.arrivals.drain(..due).collect::<Vec<Arrival>>() {
            self.waiting.push_back((arrival, Attempt(1)));
            self.write();
        }
        for exit in self.cluster.exits(self.now) {
            self.end(exit.run.0, exit.exit);
        }
        while self.start_first() {}
    }

    fn write(&mut self) {
        self.tally.writes += 1;
        self.tally.bytes += RECORD_BYTES;
    }

    fn end(&mut self, job: JobId, exit: i32) {
        let Some((arrival, attempt, host)) = self.running.remove(&job) else { return };
        self.room[host] = self.room[host].plus(&arrival.spec.size);
        self.write();
        if exit == 0 {
            self.tally.background += u64::from(arrival.spec.class == Class::Background);
        } else if attempt.0 < ATTEMPTS {
            self.waiting.push_back((arrival, attempt.next()));
        }
    }

    fn start_first(&mut self) -> bool {
        let Some((arrival, _)) = self.waiting.front() else { return false };
        let size = arrival.spec.size;
        let Some(host) = self.room.iter().position(|room| size.fits(room)) else { return false };
        let Some((arrival, attempt)) = self.waiting.pop_front() else { return false };
        if arrival.spec.class == Class::Urgent && attempt == Attempt(1) {
            self.tally.started(self.now - arrival.at_millis);
        }
        self.room[host] = self.room[host].minus(&size);
        self.cluster.start(host, (arrival.job, attempt), arrival.truth, self.now);
        self.running.insert(arrival.job, (arrival, attempt, host));
        self.write();
        true
    }
}
