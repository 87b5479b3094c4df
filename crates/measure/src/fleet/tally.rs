//! What is counted of a run.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_conf::Pool;
use vg_fleet::{Change, DrainPurpose, HostRecord, HostState, Transition, WallTime};

use super::world::{DAY_STEPS, STEP, World};

/// Steps without a drain after which a pool's next one begins a new wave.
const WAVE_GAP_STEPS: u64 = 3 * DAY_STEPS;

/// A pool's roll-out: one wave.
#[derive(Debug, Clone, Copy)]
struct Rollout {
    first: u64,
    last: u64,
    hosts: u64,
}

/// Counts of a run.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Steps that hosts were idle for maintenance or moves.
    idle: u64,
    /// Steps that hosts were lent.
    lent: u64,
    /// Drained for maintenance and back.
    pub(crate) maintained: u64,
    pub(crate) moves: u64,
    pub(crate) loans: u64,
    /// Drains taken back.
    pub(crate) cancelled: u64,
    /// Drains begun that left fewer hosts than the budget asks for.
    pub(crate) breaking: u64,
    /// Steps of pools below their floor with hosts away by plan, and without.
    pub(crate) broken: u64,
    pub(crate) failed: u64,
    pub(crate) late: BTreeSet<HostId>,
    rollouts: BTreeMap<PoolId, Vec<Rollout>>,
    begun: BTreeMap<HostId, u64>,
    cycles: u64,
    pub(crate) rounds: u64,
    pub(crate) time: Duration,
    pub(crate) longest: Duration,
}

impl Tally {
    pub(crate) fn round(&mut self, time: Duration) {
        self.rounds += 1;
        self.time += time;
        self.longest = self.longest.max(time);
    }

    pub(crate) fn steps(
        &mut self,
        world: &World,
        pools: &[Pool],
        hosts: &BTreeMap<HostId, HostRecord>,
        steps: &[Transition],
    ) {
        let serving = serving(world, hosts);
        for step in steps {
            let Some(record) = hosts.get(&step.host) else { continue };
            match &step.change {
                Change::Drain(purpose) => {
                    let pool = pools.iter().find(|pool| pool.id == record.pool);
                    let below = pool.is_some_and(|pool| is_below(pool, &serving));
                    self.breaking += u64::from(below);
                    self.loans += u64::from(matches!(purpose, DrainPurpose::Lend(_)));
                    if *purpose == DrainPurpose::Maintain {
                        self.begin(world.step, record);
                    }
                }
                Change::CancelDrain => {
                    self.cancelled += 1;
                    self.begun.remove(&step.host);
                }
                Change::Move => self.moves += 1,
                Change::Activate => self.end(world.step, record),
                _ => {}
            }
        }
    }

    fn begin(&mut self, step: u64, record: &HostRecord) {
        self.begun.insert(record.host.clone(), step);
        let new = Rollout { first: step, last: step, hosts: 0 };
        let waves = self.rollouts.entry(record.pool.clone()).or_default();
        if waves.last().is_none_or(|wave| step > wave.last + WAVE_GAP_STEPS) {
            waves.push(new);
        }
    }

    fn end(&mut self, step: u64, record: &HostRecord) {
        let Some(begun) = self.begun.remove(&record.host) else { return };
        self.maintained += 1;
        self.cycles += step - begun;
        if let Some(rollout) = self.rollouts.get_mut(&record.pool).and_then(|each| each.last_mut())
        {
            rollout.last = step;
            rollout.hosts += 1;
        }
    }

    pub(crate) fn state(
        &mut self,
        world: &World,
        pools: &[Pool],
        hosts: &BTreeMap<HostId, HostRecord>,
    ) {
        let running: BTreeSet<&HostId> = world
            .hosts
            .iter()
            .filter(|each| each.report.running > 0)
            .map(|each| &each.report.host)
            .collect();
        let mut planned = BTreeSet::new();
        let now = WallTime::from(world.now());
        let periods: BTreeMap<&PoolId, Duration> =
            pools.iter().map(|pool| (&pool.id, pool.period)).collect();
        for record in hosts.values() {
            let away = record.state.is_planned() || self.begun.contains_key(&record.host);
            let idle = away && !running.contains(&record.host) && record.state != HostState::Lost;
            self.idle += u64::from(idle);
            self.lent += u64::from(record.is_lent() && record.state == HostState::Active);
            if record.state.is_planned() {
                planned.insert(&record.pool);
            }
            let period = periods.get(&record.pool).copied().unwrap_or(Duration::MAX);
            if now.since(record.maintained) > period && record.state != HostState::Lost {
                self.late.insert(record.host.clone());
            }
        }
        let serving = serving(world, hosts);
        for pool in pools.iter().filter(|pool| is_below(pool, &serving)) {
            if planned.contains(&pool.id) {
                self.broken += 1;
            } else {
                self.failed += 1;
            }
        }
    }

    pub(crate) fn idle_hours(&self) -> f64 {
        hours(self.idle)
    }

    pub(crate) fn lent_hours(&self) -> f64 {
        hours(self.lent)
    }

    /// Returns the mean time from a host's drain until it is back, in hours.
    pub(crate) fn cycle_hours(&self) -> f64 {
        hours(self.cycles) / self.maintained.max(1) as f64
    }

    /// Returns the number of waves, over all pools.
    pub(crate) fn waves(&self) -> usize {
        self.rollouts.values().map(Vec::len).sum()
    }

    /// Returns the mean time of a wave, in hours.
    pub(crate) fn rollout_hours(&self) -> f64 {
        let all = self.rollouts.values().flatten().map(|each| each.last - each.first).sum();
        hours(all) / self.waves().max(1) as f64
    }

    /// Returns the mean time of a wave if hosts of a pool went through at the budget's
    /// full width without a pause, in hours; `width` gives the hosts at once.
    pub(crate) fn bound_hours(&self, width: impl Fn(&PoolId) -> u64) -> f64 {
        let cycle = self.cycle_hours();
        let bound =
            |pool: &PoolId, wave: &Rollout| wave.hosts.div_ceil(width(pool).max(1)) as f64 * cycle;
        let waves = self
            .rollouts
            .iter()
            .flat_map(|(pool, waves)| waves.iter().map(move |wave| (pool, wave)));
        waves.map(|(pool, wave)| bound(pool, wave)).sum::<f64>() / self.waves().max(1) as f64
    }
}

fn serving(world: &World, hosts: &BTreeMap<HostId, HostRecord>) -> BTreeMap<PoolId, u32> {
    let mut serving = BTreeMap::new();
    for host in world.hosts.iter().filter(|each| each.report.up && each.is_listed) {
        let record = hosts.get(&host.report.host);
        if let Some(record) = record.filter(|record| record.state == HostState::Active) {
            *serving.entry(record.pool.clone()).or_default() += 1;
        }
    }
    serving
}

fn is_below(pool: &Pool, serving: &BTreeMap<PoolId, u32>) -> bool {
    serving.get(&pool.id).copied().unwrap_or(0) < pool.hosts.saturating_sub(pool.budget)
}

fn hours(steps: u64) -> f64 {
    steps as f64 * STEP.as_secs_f64() / 3600.0
}
