//! Tests of admission: which jobs are rejected, when their callers retry, and what the
//! digest of the load contains and costs.

#![allow(clippy::print_stdout, reason = "measured figures are shown")]

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::collections::VecDeque;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use support::spec::{CORES, config, job, pool, queue, step, team};
use support::world::{Faults, World};
use vg_base::prelude::*;
use vg_flow::{
    Admission, Backlog, DIGEST_MAX_AGE, FencingToken, JobSpec, LoadDigest, MachineTime,
    MilliMachines, PoolLoad, PoolTeam, Queue, QueueSizes, RETRY_MAX, RetrySlots, StepSpec, Team,
    TeamLoad, decide,
};
use vg_jobs::Resources;

/// Cores of the machines of the digests, in millicores.
const MACHINE: u32 = 4000;

fn backlog(on_time_s: [f64; 3], late_s: [f64; 3], longest_ms: u32) -> Backlog {
    let times = |secs: [f64; 3]| secs.map(MachineTime::from_secs);
    Backlog {
        priority: 0,
        on_time: times(on_time_s),
        late: times(late_s),
        longest_ms: [longest_ms; 3],
    }
}

fn team_load(name: &str, machines: f64, backlog: Backlog) -> TeamLoad {
    TeamLoad {
        team: Some(team(name)),
        allocation: MilliMachines::from_machines(machines),
        backlogs: vec![backlog],
    }
}

/// A digest of pool `a`. Jobs of 2 core-seconds are medium, of 20 large.
fn digest(machines: f64, teams: Vec<TeamLoad>) -> LoadDigest {
    let sizes = QueueSizes {
        queue: queue("q-a"),
        medium_from: 2000.0,
        large_from: 20_000.0,
        largest: [0.0; 3],
    };
    let load = PoolLoad {
        pool: pool("a"),
        machine: Resources::new(MACHINE, 0, 0),
        capacity: MilliMachines::from_machines(machines),
        empty_for: None,
        queues: vec![sizes],
        teams,
    };
    LoadDigest { token: FencingToken(1), pools: vec![load], advice: Vec::new() }
}

fn queue_a() -> Queue {
    config().present_queue(&queue("q-a")).unwrap().clone()
}

/// A job of one task of 1 core: its objective is 1.6 times `ms` and 600 ms.
fn one_task(ms: u64) -> Arc<JobSpec> {
    job("q-a", vec![step(1, 1000, ms)], SystemTime::UNIX_EPOCH)
}

fn is_rejected(digest: &LoadDigest, spec: &JobSpec) -> bool {
    matches!(decide(digest, Duration::ZERO, spec, &queue_a()), Admission::Reject(_))
}

/// Guards against work that a job does not wait for: late work of its account, larger
/// jobs, and the capacity that other accounts leave.
#[test]
fn only_work_that_goes_before_a_job_counts() {
    // A job of 500 ms must start within 0.9 s to be on time and 3.7 s to have value.
    let small = one_task(500);
    let with = |on_time, late| digest(2.0, vec![team_load("t", 1.0, backlog(on_time, late, 0))]);
    let none = [0.0; 3];
    assert!(!is_rejected(&with([3.6, 0.0, 0.0], none), &small));
    // The other account has no backlog: both machines are available.
    assert!(!is_rejected(&with([7.3, 0.0, 0.0], none), &small));
    assert!(is_rejected(&with([7.5, 0.0, 0.0], none), &small));
    assert!(!is_rejected(&with(none, [900.0, 0.0, 0.0]), &small));
    assert!(!is_rejected(&with([0.0, 900.0, 900.0], none), &small));
    let large = one_task(21_000);
    assert!(is_rejected(&with([0.0, 0.0, 900.0], none), &large));
    // The longest task before it may still run when the job starts.
    let long = digest(2.0, vec![team_load("t", 1.0, backlog([9.0, 0.0, 0.0], none, 1000))]);
    assert!(!is_rejected(&long, &small));
    // An account with a backlog takes its part of the capacity.
    let other = team_load("u", 1.0, backlog([900.0, 0.0, 0.0], none, 0));
    let own = |secs| team_load("t", 1.0, backlog([secs, 0.0, 0.0], none, 0));
    assert!(!is_rejected(&digest(2.0, vec![own(3.6), other.clone()]), &small));
    assert!(is_rejected(&digest(2.0, vec![own(3.8), other]), &small));
}

/// Guards against rejections for which the digest gives no ground.
#[test]
fn jobs_are_admitted_where_the_load_is_unknown() {
    let full = digest(1.0, vec![team_load("t", 1.0, backlog([900.0; 3], [0.0; 3], 0))]);
    let spec = one_task(500);
    assert!(is_rejected(&full, &spec));
    let old = DIGEST_MAX_AGE + Duration::from_millis(1);
    assert_eq!(decide(&full, old, &spec, &queue_a()), Admission::Admit);
    let elsewhere = Queue { pool: pool("b"), ..queue_a() };
    assert_eq!(decide(&full, Duration::ZERO, &spec, &elsewhere), Admission::Admit);
    let other = JobSpec { team: Some(team("u")), ..JobSpec::clone(&spec) };
    assert!(!is_rejected(&full, &other));
    let mut continuous = JobSpec::clone(&spec);
    continuous.steps[0].continuous = true;
    assert!(!is_rejected(&full, &continuous));
    let mut empty = digest(0.0, Vec::new());
    empty.pools[0].empty_for = Some(Duration::from_millis(1900));
    assert!(!is_rejected(&empty, &spec));
    empty.pools[0].empty_for = Some(Duration::from_secs(2));
    assert!(is_rejected(&empty, &spec));
}

/// Tasks of two accounts that wait for a number of machines.
struct Machines {
    /// When each machine is free, and which account has it.
    free_at: Vec<(f64, usize)>,
    allocation: [usize; 2],
    waiting: [VecDeque<f64>; 2],
}

impl Machines {
    /// Returns when the last task of account 0 starts. A free machine goes to an account
    /// below its allocation first.
    fn start_of_last(mut self) -> f64 {
        let mut now = 0.0;
        loop {
            for at in 0..self.free_at.len() {
                if self.free_at[at].0 > now {
                    continue;
                }
                let used = |account| {
                    let busy = self.free_at.iter().filter(|(until, _)| *until > now);
                    busy.filter(|(_, by)| *by == account).count()
                };
                let below = [1, 0].map(|account| used(account) < self.allocation[account]);
                let first = if below[0] && !self.waiting[1].is_empty() { 1 } else { 0 };
                let account = if self.waiting[first].is_empty() { 1 - first } else { first };
                let Some(length) = self.waiting[account].pop_front() else { continue };
                self.free_at[at] = (now + length, account);
                if account == 0 && self.waiting[0].is_empty() {
                    return now;
                }
            }
            let next = self.free_at.iter().map(|each| each.0).filter(|at| *at > now);
            now = next.fold(f64::INFINITY, f64::min);
        }
    }
}

/// Guards against rejections of jobs that would have been done in time: compares the
/// decision with the exact order in which random tasks start.
#[test]
fn job_that_can_be_done_is_never_rejected() {
    let (mut rejected, mut hopeless) = (0, 0);
    for seed in 0..20_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let allocation = [rng.random_range(1..5), rng.random_range(1..5)];
        let machines: usize = allocation.iter().sum();
        let longest = rng.random_range(1..30) as f64 / 10.0;
        let mut tasks = |count: usize| -> VecDeque<f64> {
            (0..count)
                .map(|_| (rng.random_range(0.1..=longest) * 100.0_f64).ceil() / 100.0)
                .collect()
        };
        let mut waiting = [tasks(seed as usize % 60), tasks(seed as usize / 7 % 60)];
        let work = [0, 1].map(|account: usize| waiting[account].iter().sum::<f64>());
        let longest = waiting[0].iter().copied().fold(0.0, f64::max);
        let load = |name, account: usize| {
            let backlog = backlog([work[account], 0.0, 0.0], [0.0; 3], (longest * 1000.0) as u32);
            team_load(name, allocation[account] as f64, backlog)
        };
        let digest = digest(machines as f64, vec![load("t", 0), load("u", 1)]);
        waiting[0].push_back(0.5);
        let starts = Machines { free_at: vec![(0.0, 0); machines], allocation, waiting };
        let is_hopeless = starts.start_of_last() + 0.5 > 4.2;
        let is_rejected = is_rejected(&digest, &one_task(500));
        assert!(!is_rejected || is_hopeless, "seed {seed}: a job that can be done is rejected");
        hopeless += u32::from(is_hopeless);
        rejected += u32::from(is_rejected);
    }
    println!("{rejected} of {hopeless} hopeless jobs are rejected");
    assert!(rejected * 2 > hopeless);
}

/// Guards against retries that come all at once, or faster than the account's allocation
/// takes them, and against delays without a bound.
#[test]
fn retries_come_at_the_rate_of_the_allocation() {
    // The job and the work before it are of the medium class.
    let digest = digest(1.0, vec![team_load("t", 1.0, backlog([0.0, 10.0, 0.0], [0.0; 3], 0))]);
    let Admission::Reject(rejection) = decide(&digest, Duration::ZERO, &one_task(2000), &queue_a())
    else {
        panic!("the job is hopeless")
    };
    let (mut slots, now) = (RetrySlots::default(), Instant::now());
    let account = PoolTeam { pool: pool("a"), team: Some(team("t")) };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut next = |hosts| {
        slots.next_delay(account.clone(), &rejection, hosts, rng.random(), now).as_secs_f64()
    };
    // A job of 2 s on a quarter of a machine takes half a second of the allocation.
    for number in 0..50 {
        let from = 10.0 + 0.5 * f64::from(number);
        let delay = next(1);
        assert!((from..=from + 0.5).contains(&delay), "retry {number} after {delay}");
    }
    for _ in 0..500 {
        assert!(next(4) <= RETRY_MAX.as_secs_f64());
    }
}

/// Guards against a digest that takes too much of the leader's link.
#[test]
fn digest_of_200_accounts_and_5_pools_has_at_most_64_kb() {
    let team = |at: usize| {
        let backlog = backlog([300.0; 3], [300.0; 3], 20_000);
        team_load(&format!("account-{at:03}"), 12.345, backlog)
    };
    let of_teams = |count: usize, pools: usize| {
        let mut digest = digest(123.0, (0..count).map(team).collect());
        digest.pools = vec![digest.pools[0].clone(); pools];
        rmp_serde::to_vec_named(&digest).unwrap().len()
    };
    let (largest, usual) = (of_teams(200, 5), of_teams(20, 1));
    println!("200 accounts in 5 pools: {largest} bytes; 20 accounts in 1 pool: {usual} bytes");
    for (bytes, hosts) in [(largest, 300), (usual, 300)] {
        println!("{hosts} hosts that ask each 250 ms: {} bytes per second", bytes * hosts * 4);
    }
    assert!(largest <= 64 * 1024);
}

/// A burst fills a pool for about two seconds, at once or after machines that are
/// switched off have been moved there, which the platform may refuse at first. Guards
/// against rejections of jobs that only wait for a short time.
#[test]
fn pool_that_is_briefly_full_rejects_nothing() {
    for (spare, burst, refusals) in [(0, 40, 0), (4, 100, 0), (4, 100, 1000)] {
        let mut world = World::new(1, 4, Faults { refusals, ..Faults::default() });
        world.run(1000);
        if spare > 0 {
            world.add_spare(spare);
        }
        let task = || vec![step(1, TASK_CORES, TASK_MS)];
        for number in 1..=burst {
            let spec = job("q-a", task(), world.wall());
            world.submit(number, spec);
        }
        let mut contended = 0;
        for _ in 0..100 {
            world.step();
            let Some(digest) = world.scheduler.load_digest(world.now(), world.wall()) else {
                continue;
            };
            contended += 1;
            let spec = job("q-a", task(), world.wall());
            assert!(!is_rejected(&digest, &spec), "{spare} spare: {digest:?}");
        }
        assert!(contended > 20, "the pool was not full");
    }
}

/// Guards against work in the digest that does not go before a new job: steps that wait
/// for earlier ones, and jobs that end too late to have value.
#[test]
fn digest_has_only_ready_work_of_value() {
    let mut world = World::new(1, 4, Faults::default());
    world.run(1000);
    let second = StepSpec { after: vec![0], ..step(50, TASK_CORES, TASK_MS) };
    let steps = vec![step(108, TASK_CORES, TASK_MS), second];
    world.submit(1, job("q-a", steps, world.wall()));
    let long_ago = SystemTime::UNIX_EPOCH - Duration::from_secs(60);
    world.submit(2, job("q-a", vec![step(100, TASK_CORES, TASK_MS)], long_ago));
    world.step();
    let digest = world.scheduler.load_digest(world.now(), world.wall()).unwrap();
    let waiting: f64 = digest.pools[0].teams.iter().map(TeamLoad::waiting).sum();
    // Eight tasks have started. A task is an eighth of a machine-second.
    assert_eq!(waiting, 100.0 / 8.0);
}

/// Duration and cores of each task that is submitted to a simulated fleet.
const TASK_MS: u64 = 500;
const TASK_CORES: u32 = 4000;

/// Guards against a digest that holds up the leader's rounds: 3,000 workers, 5,000
/// waiting jobs of 200 accounts. The bound leaves room for a build without optimization.
#[test]
fn digest_of_a_large_fleet_is_computed_quickly() {
    let mut world = World::new(1, 3000, Faults::default());
    let mut config = config();
    let accounts: Vec<_> = (0..200).map(|at| team(&format!("account-{at}"))).collect();
    let limit = Resources::ZERO;
    let teams = accounts.iter().map(|id| (id.clone(), Team { share: Share(1), limit }));
    config.set_teams(teams.collect());
    world.config = Arc::new(config);
    world.scheduler.set_config(Arc::clone(&world.config));
    world.run(400);
    for (number, account) in (1..=5000).zip(accounts.iter().cycle()) {
        let mut spec = JobSpec::clone(&job("q-a", vec![step(1, CORES, 5000)], world.wall()));
        spec.team = Some(account.clone());
        world.submit(number, Arc::new(spec));
    }
    world.step();
    let started = Instant::now();
    let digest = world.scheduler.load_digest(world.now(), world.wall());
    let took = started.elapsed();
    let teams = digest.map(|digest| digest.pools[0].teams.len());
    println!("a digest of {teams:?} accounts took {took:?}");
    assert_eq!(teams, Some(200));
    assert!(took < Duration::from_millis(500));
}

/// Guards against a rejection of a small job behind larger ones of its size class, which
/// go after it.
#[test]
fn a_job_is_not_counted_behind_larger_ones_of_its_class() {
    let mut world = World::new(1, 4, Faults::default());
    world.run(1000);
    for number in 0..200 {
        world.submit(number, job("q-a", vec![step(1, 4000, 500)], world.wall()));
    }
    world.run(100);
    let digest = world.scheduler.load_digest(world.now(), world.wall()).unwrap();
    let small = job("q-a", vec![step(1, 1000, 100)], world.wall());
    let like_them = job("q-a", vec![step(1, 4000, 500)], world.wall());
    assert!(!is_rejected(&digest, &small));
    assert!(is_rejected(&digest, &like_them));
    let accepted = world.ms;
    let id = world.submit(1000, small);
    while world.store[&id].end.is_none() && world.ms < accepted + 60_000 {
        world.step();
    }
    // Objective: 1.6 times 100 ms, plus 600 ms.
    assert!(world.ms - accepted <= 760, "{}", world.ms - accepted);
}
