//! Takeovers in which each piece of the state is read early, late or not at all, drawn from a
//! seed, beside leases that end before their time, stops and cuts.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::sync::Mutex;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::{Cluster, Node, id, is_done, job};
use vg_base::prelude::*;
use vg_lead::SubmitOutcome;

/// Seeds that are played on each run.
const SEEDS: std::ops::Range<u64> = 1..9;
/// Rounds of faults.
const ROUNDS: u32 = 6;
/// Time within which all accepted jobs have to be done after the faults.
const FINISH_TIME: Duration = Duration::from_secs(40);
const WORKERS: [&str; 2] = ["w1", "w2"];

/// A cluster under drawn faults.
struct Play {
    cluster: Cluster,
    nodes: Vec<Node>,
    rng: SmallRng,
    seed: u64,
    started: u64,
    accepted: Vec<JobId>,
    submitted: u128,
}

impl Play {
    async fn add_node(&mut self) {
        self.started += 1;
        let node = self.cluster.node(&format!("n{}", self.started)).await;
        node.pieces.set_seed(Some(self.seed * 100 + self.started));
        self.nodes.push(node);
    }

    async fn submit(&mut self) {
        for _ in 0..3 {
            let ms = self.rng.random_range(200..2500);
            *self.cluster.fleet.task_duration.lock().unwrap() = Duration::from_millis(ms);
            let node = &self.nodes[self.rng.random_range(0..self.nodes.len())];
            self.submitted += 1;
            let deadline = Instant::now() + Duration::from_millis(500);
            let answer = node.host.submit(id(self.submitted), job(2), deadline).await;
            if answer == SubmitOutcome::Accepted {
                self.accepted.push(id(self.submitted));
            }
        }
    }

    async fn wait(&mut self, ms: std::ops::Range<u64>) {
        let ms = self.rng.random_range(ms);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    /// Injects the faults of one round.
    async fn disturb(&mut self) {
        for node in &self.nodes {
            let worker = WORKERS[self.rng.random_range(0..WORKERS.len())];
            let cut = self.rng.random_bool(0.5);
            self.cluster.fleet.set_cut(node.name.as_str(), worker, cut);
        }
        self.wait(0..700).await;
        let leader = self.nodes.iter().position(|node| node.host.is_leading());
        let Some(leader) = leader else { return };
        match self.rng.random_range(0..4) {
            0 => self.nodes[leader].store.expire_leases().await,
            1 => {
                self.nodes[leader].faults.set_down(true);
                self.nodes[leader].store.expire_leases().await;
            }
            2 => {
                let node = self.nodes.remove(leader);
                node.host.begin_stop().await;
                node.tasks.stop().await;
                self.add_node().await;
            }
            _ => {
                let node = self.nodes.remove(leader);
                node.tasks.stop().await;
                self.add_node().await;
            }
        }
        self.submit().await;
        self.wait(300..2500).await;
        self.nodes.iter().for_each(|node| node.faults.set_down(false));
    }

    /// Ends the faults, and returns the accepted jobs that are not done in time.
    async fn finish(&mut self) -> Vec<JobId> {
        for node in &self.nodes {
            node.pieces.set_seed(None);
            let cut = |worker| self.cluster.fleet.set_cut(node.name.as_str(), worker, false);
            WORKERS.into_iter().for_each(cut);
        }
        let until = Instant::now() + FINISH_TIME;
        let mut left = self.accepted.clone();
        while !left.is_empty() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let job = left[0];
            let deadline = Instant::now() + Duration::from_millis(500);
            if is_done(&self.nodes[0].host.job_status(job, deadline).await) {
                left.remove(0);
            }
        }
        left
    }
}

/// Plays one seed, and adds what was broken.
async fn play(seed: u64, broken: &Mutex<Vec<String>>) {
    let rng = SmallRng::seed_from_u64(seed);
    let cluster = Cluster::new().await;
    let (nodes, accepted) = (Vec::new(), Vec::new());
    let mut play = Play { cluster, nodes, rng, seed, started: 0, accepted, submitted: 0 };
    for _ in 0..3 {
        play.add_node().await;
    }
    for _ in 0..ROUNDS {
        play.submit().await;
        play.disturb().await;
    }
    let left = play.finish().await;
    let violations = play.cluster.fleet.violations();
    let mut broken = broken.lock().unwrap();
    broken.extend(violations.into_iter().map(|violation| format!("seed {seed}: {violation}")));
    broken.extend(left.into_iter().map(|job| format!("seed {seed}: job {job} is not done")));
}

/// Guards against a new leader that takes what it has not read, or read too early, for
/// nothing.
#[tokio::test]
async fn pieces_that_are_read_early_late_or_not_at_all_repeat_no_task() {
    let broken = Mutex::default();
    futures_util::future::join_all(SEEDS.map(|seed| play(seed, &broken))).await;
    let broken = broken.into_inner().unwrap();
    assert!(broken.is_empty(), "{broken:#?}");
}
