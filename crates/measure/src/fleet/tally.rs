//! The figures of one run.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_conf::Pool;
use vg_fleet::{Change, DrainPurpose, HostRecord, HostState, Transition, WallTime};

use super::model::{DAY_STEPS, FleetModel, STEP};

/// Steps after which a drain starts a new wave of its pool, counted from the wave's last
/// activation, or from its first drain if no host of the wave is active again.
const WAVE_GAP_STEPS: u64 = 3 * DAY_STEPS;

/// A wave of maintenance of one pool.
#[derive(Debug, Clone, Copy)]
struct Wave {
    /// Step of the first drain.
    first: u64,
    /// Step of the last activation after maintenance, or of the first drain before that.
    last: u64,
    /// Number of hosts that are active again.
    hosts: u64,
}

/// The figures of one run.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Host-steps in which hosts were idle for maintenance or moves.
    idle_steps: u64,
    /// Host-steps in which hosts were lent to another pool.
    lent_steps: u64,
    /// Number of hosts that were drained for maintenance and are active again.
    pub(crate) maintained: u64,
    pub(crate) moves: u64,
    pub(crate) loans: u64,
    /// Number of cancelled drains.
    pub(crate) cancelled: u64,
    /// Number of drains after whose start their pool had fewer serving hosts than its budget
    /// requires.
    pub(crate) budget_violations: u64,
    /// Pool-steps below the budget's minimum while hosts were away by plan.
    pub(crate) planned_shortfalls: u64,
    /// Pool-steps below the budget's minimum because of failures only.
    pub(crate) failure_shortfalls: u64,
    /// Hosts that were not maintained within the period.
    pub(crate) overdue: BTreeSet<HostId>,
    waves_by_pool: BTreeMap<PoolId, Vec<Wave>>,
    /// Step of the drain of each host under maintenance.
    drain_starts: BTreeMap<HostId, u64>,
    /// Steps from drain to activation, summed over the maintained hosts.
    cycle_steps: u64,
    pub(crate) rounds: u64,
    /// Real time of all rounds.
    pub(crate) round_time: Duration,
    /// Real time of the longest round.
    pub(crate) max_round_time: Duration,
}

impl Tally {
    /// Records the real time of a round.
    pub(crate) fn add_round(&mut self, time: Duration) {
        self.rounds += 1;
        self.round_time += time;
        self.max_round_time = self.max_round_time.max(time);
    }

    /// Counts the transitions of a round. `hosts` has the records after the round.
    pub(crate) fn add_transitions(
        &mut self,
        model: &FleetModel,
        pools: &[Pool],
        hosts: &BTreeMap<HostId, HostRecord>,
        transitions: &[Transition],
    ) {
        let serving = serving(model, hosts);
        for transition in transitions {
            let Some(record) = hosts.get(&transition.host) else { continue };
            match &transition.change {
                Change::Drain(purpose) => {
                    let pool = pools.iter().find(|pool| pool.id == record.pool);
                    let below = pool.is_some_and(|pool| is_below(pool, &serving));
                    self.budget_violations += u64::from(below);
                    self.loans += u64::from(matches!(purpose, DrainPurpose::Lend(_)));
                    if *purpose == DrainPurpose::Maintain {
                        self.start_maintenance(model.step, record);
                    }
                }
                Change::CancelDrain => {
                    self.cancelled += 1;
                    self.drain_starts.remove(&transition.host);
                }
                Change::Move => self.moves += 1,
                Change::Activate => self.end_maintenance(model.step, record),
                _ => {}
            }
        }
    }

    /// Records the start of a host's maintenance, which may start a wave.
    fn start_maintenance(&mut self, step: u64, record: &HostRecord) {
        self.drain_starts.insert(record.host.clone(), step);
        let wave = Wave { first: step, last: step, hosts: 0 };
        let waves = self.waves_by_pool.entry(record.pool.clone()).or_default();
        if waves.last().is_none_or(|wave| step > wave.last + WAVE_GAP_STEPS) {
            waves.push(wave);
        }
    }

    /// Records that a host is active again after its maintenance.
    fn end_maintenance(&mut self, step: u64, record: &HostRecord) {
        let Some(started) = self.drain_starts.remove(&record.host) else { return };
        self.maintained += 1;
        self.cycle_steps += step - started;
        if let Some(wave) =
            self.waves_by_pool.get_mut(&record.pool).and_then(|each| each.last_mut())
        {
            wave.last = step;
            wave.hosts += 1;
        }
    }

    /// Counts the states of hosts and pools in a step.
    pub(crate) fn add_step(
        &mut self,
        model: &FleetModel,
        pools: &[Pool],
        hosts: &BTreeMap<HostId, HostRecord>,
    ) {
        let running: BTreeSet<&HostId> = model
            .hosts
            .iter()
            .filter(|each| each.report.running > 0)
            .map(|each| &each.report.host)
            .collect();
        let mut planned = BTreeSet::new();
        let now = WallTime::from(model.now());
        let periods: BTreeMap<&PoolId, Duration> =
            pools.iter().map(|pool| (&pool.id, pool.period)).collect();
        for record in hosts.values() {
            let away = record.state.is_planned() || self.drain_starts.contains_key(&record.host);
            let idle = away && !running.contains(&record.host) && record.state != HostState::Lost;
            self.idle_steps += u64::from(idle);
            self.lent_steps += u64::from(record.is_lent() && record.state == HostState::Active);
            if record.state.is_planned() {
                planned.insert(&record.pool);
            }
            let period = periods.get(&record.pool).copied().unwrap_or(Duration::MAX);
            if now.since(record.maintained) > period && record.state != HostState::Lost {
                self.overdue.insert(record.host.clone());
            }
        }
        let serving = serving(model, hosts);
        for pool in pools.iter().filter(|pool| is_below(pool, &serving)) {
            if planned.contains(&pool.id) {
                self.planned_shortfalls += 1;
            } else {
                self.failure_shortfalls += 1;
            }
        }
    }

    /// Returns the host-hours that hosts were idle for maintenance or moves.
    pub(crate) fn idle_hours(&self) -> f64 {
        hours(self.idle_steps)
    }

    /// Returns the host-hours that hosts were lent.
    pub(crate) fn lent_hours(&self) -> f64 {
        hours(self.lent_steps)
    }

    /// Returns the mean time from the drain of a host until it is active again, in hours.
    pub(crate) fn cycle_hours(&self) -> f64 {
        hours(self.cycle_steps) / self.maintained.max(1) as f64
    }

    /// Returns the number of waves of all pools.
    pub(crate) fn waves(&self) -> usize {
        self.waves_by_pool.values().map(Vec::len).sum()
    }

    /// Returns the mean length of a wave, in hours.
    pub(crate) fn wave_hours(&self) -> f64 {
        let all = self.waves_by_pool.values().flatten().map(|each| each.last - each.first).sum();
        hours(all) / self.waves().max(1) as f64
    }

    /// Returns a lower bound of the mean length of a wave, in hours: the length if as many
    /// hosts of a pool as `width` returns were always maintained at once.
    pub(crate) fn min_wave_hours(&self, width: impl Fn(&PoolId) -> u64) -> f64 {
        let cycle = self.cycle_hours();
        let bound =
            |pool: &PoolId, wave: &Wave| wave.hosts.div_ceil(width(pool).max(1)) as f64 * cycle;
        let waves = self
            .waves_by_pool
            .iter()
            .flat_map(|(pool, waves)| waves.iter().map(move |wave| (pool, wave)));
        waves.map(|(pool, wave)| bound(pool, wave)).sum::<f64>() / self.waves().max(1) as f64
    }
}

/// Returns the number of hosts of each pool that are up, listed and active.
fn serving(model: &FleetModel, hosts: &BTreeMap<HostId, HostRecord>) -> BTreeMap<PoolId, u32> {
    let mut serving = BTreeMap::new();
    for host in model.hosts.iter().filter(|each| each.report.up && each.is_listed) {
        let record = hosts.get(&host.report.host);
        if let Some(record) = record.filter(|record| record.state == HostState::Active) {
            *serving.entry(record.pool.clone()).or_default() += 1;
        }
    }
    serving
}

/// Whether a pool has fewer serving hosts than its budget requires.
fn is_below(pool: &Pool, serving: &BTreeMap<PoolId, u32>) -> bool {
    serving.get(&pool.id).copied().unwrap_or(0) < pool.hosts.saturating_sub(pool.budget)
}

/// Converts steps to hours.
fn hours(steps: u64) -> f64 {
    steps as f64 * STEP.as_secs_f64() / 3600.0
}
