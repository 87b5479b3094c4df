//! What workers and callers are told stands, whichever write the hosts are killed in.
//!
//! `VG_ENDS_SEEDS=5..20` plays other seeds, `VG_ENDS_SKEW_MS=8000` with wall clocks that differ.
//! Time is real, so a seed need not draw the same order again.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::time::Instant as StdInstant;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::crashes::{CrashNode, Crashes, KillPoint};
use support::{eventually, id, job};
use vg_base::prelude::*;
use vg_flow::{JobSpec, Schedule, StepSpec};

/// Number of hosts.
const HOSTS: usize = 3;
/// Time for which jobs are handed in and hosts are killed.
const PLAY_TIME: Duration = Duration::from_secs(8);
/// Time in which all accepted jobs end once nothing fails any more.
const QUIET_TIME: Duration = Duration::from_secs(30);
/// Time for which a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);
/// Workers of the cluster.
const WORKERS: [&str; 2] = ["w1", "w2"];

/// The hosts of a cluster, killed and started as a seed says.
struct Play {
    crashes: Crashes,
    rng: SmallRng,
    hosts: Vec<Option<CrashNode>>,
    /// Processes that were started.
    processes: u64,
    jobs: u128,
    /// Time by which the wall clocks of hosts differ at most.
    skew: Duration,
}

impl Play {
    async fn new(seed: u64, skew: Duration) -> Play {
        let mut play = Play {
            crashes: Crashes::new(seed).await,
            rng: SmallRng::seed_from_u64(seed),
            hosts: (0..HOSTS).map(|_| None).collect(),
            processes: 0,
            jobs: 0,
            skew,
        };
        play.start_missing().await;
        play
    }

    /// Starts the hosts that are dead.
    async fn start_missing(&mut self) {
        for at in 0..HOSTS {
            if self.hosts[at].as_ref().is_some_and(|host| host.link.is_alive()) {
                continue;
            }
            self.hosts[at] = None;
            self.processes += 1;
            let name = ["a", "b", "c"][at];
            let ahead = self.skew.mul_f64(self.rng.random());
            self.hosts[at] = Some(self.crashes.start(name, self.processes, ahead).await);
        }
    }

    /// Returns a host that is alive.
    fn any_host(&mut self) -> Option<&CrashNode> {
        let alive = self.hosts.iter().flatten().filter(|host| host.link.is_alive());
        let alive: Vec<_> = alive.collect();
        match alive.len() {
            0 => None,
            count => Some(alive[self.rng.random_range(0..count)]),
        }
    }

    fn leader(&self) -> Option<&CrashNode> {
        self.hosts.iter().flatten().find(|host| host.is_leading())
    }

    /// Draws a job: steps after others, gangs, speculative steps, or several times.
    fn draw_job(&mut self) -> JobSpec {
        let mut spec = job(self.rng.random_range(1..5));
        match self.rng.random_range(0..5) {
            0 => spec.steps[0].gang = true,
            1 => spec.steps.iter_mut().for_each(|step| step.speculative = true),
            2 => {
                let (interval, times) = (Duration::from_millis(60), 4);
                spec.schedule = Some(Schedule { first: SystemTime::now(), interval, times });
            }
            3 => spec.steps.iter_mut().for_each(|step: &mut StepSpec| step.checkpoint = true),
            _ => {}
        }
        spec
    }

    async fn submit(&mut self) -> bool {
        self.jobs += 1;
        let (number, spec) = (id(self.jobs), self.draw_job());
        let crashes = self.crashes.clone();
        match self.any_host() {
            Some(host) => crashes.submit(host, number, spec, PATIENCE).await,
            None => false,
        }
    }

    /// Hands a job in at one host, leaves soon, and hands it in at another one.
    async fn submit_again(&mut self) {
        let crashes = self.crashes.clone();
        let (number, spec) = match self.rng.random() {
            true => (self.any_job(), None),
            false => {
                self.jobs += 1;
                (id(self.jobs), Some(self.draw_job()))
            }
        };
        let Some(spec) = spec.or_else(|| crashes.spec(number)) else { return };
        let patience = Duration::from_millis(self.rng.random_range(1..40));
        if let Some(host) = self.any_host() {
            crashes.submit(host, number, spec.clone(), patience).await;
        }
        if crashes.spec(number).is_some()
            && let Some(host) = self.any_host()
        {
            crashes.submit(host, number, spec, PATIENCE).await;
        }
    }

    fn any_job(&mut self) -> JobId {
        id(self.rng.random_range(1..=self.jobs.max(1)))
    }

    fn kill_all(&mut self) {
        self.hosts.iter_mut().flatten().for_each(CrashNode::kill);
    }

    async fn stop_leader(&mut self) {
        if let Some(leader) = self.hosts.iter_mut().flatten().find(|host| host.is_leading()) {
            leader.stop().await;
        }
    }

    fn kill_leader_in_write(&mut self) {
        let writes = self.rng.random_range(0..12);
        let point = [KillPoint::Before, KillPoint::After][self.rng.random_range(0..2)];
        if let Some(leader) = self.leader() {
            leader.link.kill_in_write(writes, point);
        }
    }

    fn set_reachable(&mut self, reachable: bool) {
        let worker = WORKERS[self.rng.random_range(0..WORKERS.len())];
        self.crashes.cluster.fleet.set_reachable(worker, reachable);
    }

    async fn step(&mut self) {
        let crashes = self.crashes.clone();
        match self.rng.random_range(0..100) {
            0..32 => _ = self.submit().await,
            32..40 => self.submit_again().await,
            40..46 => {
                let job = self.any_job();
                if let Some(host) = self.any_host() {
                    crashes.cancel(host, job).await;
                }
            }
            46..62 => {
                let job = self.any_job();
                if let Some(host) = self.any_host() {
                    crashes.ask(host, job).await;
                }
            }
            62..68 => self.kill_leader_in_write(),
            68..70 => self.stop_leader().await,
            // Right after an answer to a caller.
            70..73 => {
                if self.submit().await {
                    self.kill_all();
                }
            }
            73..77 => {
                if let Some(leader) = self.leader() {
                    leader.link.turn_away(true);
                }
            }
            77..84 => self.hosts.iter().flatten().for_each(|host| host.link.turn_away(false)),
            84..87 => self.set_reachable(false),
            87..94 => self.set_reachable(true),
            _ => self.start_missing().await,
        }
    }

    /// Ends all faults and waits until all accepted jobs have ended.
    async fn end(&mut self) {
        self.start_missing().await;
        self.hosts.iter().flatten().for_each(|host| host.link.end_faults());
        WORKERS.iter().for_each(|worker| self.crashes.cluster.fleet.set_reachable(worker, true));
        let until = StdInstant::now() + QUIET_TIME;
        for job in self.crashes.accepted() {
            let crashes = self.crashes.clone();
            while !crashes.ask(self.any_host().unwrap(), job).await {
                assert!(StdInstant::now() < until, "job {job} has not ended");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        // Late writes have been carried out, and what is stopped has ended.
        tokio::time::sleep(Duration::from_millis(3200)).await;
        self.crashes.check_quiet();
    }
}

/// Plays a seed. Returns what broke a promise.
async fn play(seed: u64, skew: Duration) -> Vec<String> {
    let mut play = Play::new(seed, skew).await;
    let until = StdInstant::now() + PLAY_TIME;
    while StdInstant::now() < until {
        play.step().await;
        let pause = play.rng.random_range(5..90);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    play.end().await;
    let crashes = &play.crashes;
    assert!(crashes.acknowledged() > 0, "seed {seed}: nothing was judged");
    crashes.breaches()
}

/// Guards against ends that a worker forgets, jobs that are accepted, cancelled or shown as
/// ended, and refusals, that the hosts no longer know after they are killed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_acknowledged_outlasts_hosts_that_are_killed_in_any_write() {
    for seed in seeds() {
        let breaches = play(seed, skew()).await;
        assert!(breaches.is_empty(), "seed {seed}: {breaches:#?}");
    }
}

/// Guards against a leader that writes nothing more, neither ends nor outcomes of any job,
/// because the checkpoints of one job together are larger than the store permits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_record_that_is_too_large_holds_up_no_other_job() {
    let mut crashes = Crashes::new(1).await;
    (crashes.failed_percent, crashes.checkpoint_bytes) = (100, 500);
    let host = crashes.start("a", 1, Duration::ZERO).await;
    host.link.end_faults();
    host.link.refuse_larger(3000);
    eventually(async || host.is_leading()).await;
    assert!(crashes.submit(&host, id(1), job(64), PATIENCE).await);
    assert!(crashes.submit(&host, id(2), job(1), PATIENCE).await);
    for job in [id(2), id(1)] {
        eventually(async || crashes.ask(&host, job).await).await;
    }
}

/// Returns the seeds to play: those in `VG_ENDS_SEEDS`, such as `5..20`, or a few.
fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("VG_ENDS_SEEDS").ok();
    let range = given.as_deref().and_then(|given| given.split_once(".."));
    let parse = |text: &str| text.parse().ok();
    range.and_then(|(from, to)| Some(parse(from)?..parse(to)?)).unwrap_or(1..3)
}

/// Returns by how much wall clocks differ at most: `VG_ENDS_SKEW_MS`, or not at all.
fn skew() -> Duration {
    let given = std::env::var("VG_ENDS_SKEW_MS").ok();
    Duration::from_millis(given.and_then(|given| given.parse().ok()).unwrap_or(0))
}
