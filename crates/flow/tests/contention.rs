//! Fair shares of teams, and the order at the peak, in pools that are full.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use proptest::prelude::*;
use rand::Rng;
use support::spec::{job, queue, step, team};
use support::world::{Faults, World};
use vg_base::prelude::*;
use vg_flow::{OperatorConfig, SHARE_UNIT, Team};

/// Tasks of two cores and about a second that the eight workers of pool `a` run at
/// once.
const POOL_TASKS: f64 = 64.0;

/// What a team sends.
#[derive(Debug, Clone, Copy)]
struct Sender {
    team: &'static str,
    /// Tasks per second, as a part of the pool.
    load: f64,
    /// Tasks of each job, one of which is drawn.
    sizes: &'static [u32],
}

const SMALL: &[u32] = &[2, 3, 4];
/// Ten jobs: seven small, two medium, one large.
const MIXED: &[u32] = &[2, 2, 3, 3, 3, 4, 4, 10, 12, 40];

/// A replay without faults on eight workers, and when each job was sent and ended.
struct Replay {
    world: World,
    sent: HashMap<JobId, (u64, &'static str, u32)>,
    durations: HashMap<JobId, u64>,
    /// Jobs that each team has not sent yet, in tasks.
    due: HashMap<&'static str, f64>,
}

impl Replay {
    fn new(seed: u64, shares: &[(&str, u32)]) -> Replay {
        let mut world = World::new(seed, 16, Faults::default());
        let mut config = (*world.config).clone();
        config.queues.get_mut(&queue("q-a")).unwrap().slack = Duration::from_secs(2);
        set_shares(&mut config, shares);
        world.config = Arc::new(config);
        world.scheduler.set_config(Arc::clone(&world.config));
        world.run(200);
        Replay { world, sent: HashMap::new(), durations: HashMap::new(), due: HashMap::new() }
    }

    fn run(&mut self, ms: u64, senders: &[Sender]) {
        let until = self.world.ms + ms;
        while self.world.ms < until {
            let before = self.world.ms;
            self.world.step();
            let passed = (self.world.ms - before) as f64 / 1000.0;
            for sender in senders {
                self.send_due(sender, passed);
            }
            self.record_ends();
        }
        assert!(self.world.violations.is_empty(), "{:?}", self.world.violations);
    }

    fn send_due(&mut self, sender: &Sender, passed: f64) {
        let due = self.due.entry(sender.team).or_default();
        *due += sender.load * POOL_TASKS * passed;
        while self.due[sender.team] > 0.0 {
            let size = sender.sizes[self.world.rng.random_range(0..sender.sizes.len())];
            let estimate = self.world.rng.random_range(600..1400);
            *self.due.entry(sender.team).or_default() -= f64::from(size);
            let steps = vec![step(size, 2000, estimate)];
            let mut spec = (*job("q-a", steps, self.world.wall())).clone();
            spec.team = (sender.team != "none").then(|| team(sender.team));
            let id = self.world.submit(self.sent.len() as u128 + 1, Arc::new(spec));
            self.sent.insert(id, (self.world.ms, sender.team, size));
        }
    }

    fn record_ends(&mut self) {
        for (&id, stored) in &self.world.store {
            if stored.end.is_some() {
                self.durations.entry(id).or_insert(self.world.ms - self.sent[&id].0);
            }
        }
    }

    /// Returns the fraction in time of the jobs that were sent from `since_ms` on, by
    /// team and size.
    fn in_time(&self, since_ms: u64, wanted: impl Fn(&str, u32) -> bool) -> f64 {
        let jobs = self.sent.iter().filter(|(_, (ms, ..))| *ms >= since_ms);
        let jobs: Vec<_> = jobs.filter(|(_, (_, team, size))| wanted(team, *size)).collect();
        let ends = |id| self.durations.get(id).is_some_and(|ms| *ms <= self.objective_ms(id));
        jobs.iter().filter(|(id, _)| ends(*id)).count() as f64 / jobs.len() as f64
    }

    fn objective_ms(&self, id: &JobId) -> u64 {
        let path = self.world.store[id].spec.steps[0].estimate;
        (path.mul_f64(1.6) + Duration::from_secs(2)).as_millis() as u64
    }
}

fn set_shares(config: &mut OperatorConfig, shares: &[(&str, u32)]) {
    let with = |&(name, weight): &(&str, u32)| {
        (team(name), Team { share: Share(weight * SHARE_UNIT), ..Team::default() })
    };
    config.teams = shares.iter().map(with).collect();
}

fn sender(team: &'static str, load: f64, sizes: &'static [u32]) -> Sender {
    Sender { team, load, sizes }
}

const EQUAL: [(&str, u32); 4] = [("a", 1), ("b", 1), ("c", 1), ("d", 1)];

/// Guards against an account that takes the capacity of all when it sends seven times
/// its usual load.
#[test]
fn an_account_at_seven_times_its_load_costs_the_others_nothing() {
    let mut replay = Replay::new(1, &EQUAL);
    let usual = ["a", "b", "c"].map(|team| sender(team, 0.2, MIXED));
    let flood = sender("d", 1.4, MIXED);
    replay.run(12_000, &[usual[0], usual[1], usual[2], flood]);
    replay.run(12_000, &[]);
    for each in usual {
        let served = replay.in_time(0, |team, _| team == each.team);
        assert!(served >= 0.98, "{}: {served}", each.team);
    }
    // What the others leave is not wasted.
    let flood = replay.in_time(0, |team, _| team == "d");
    assert!(flood >= 0.2, "{flood}");
}
