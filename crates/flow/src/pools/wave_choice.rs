//! Which machines of a maintenance wave are drained, and when.
//!
//! Load that this module handles: most machines of a wave are free within a second or
//! two, but continuous tasks leave theirs one at a time. If the machines of these tasks
//! are left to the end of the wave, the last ones are late. So both kinds are drained
//! side by side, each at the rate that the wave's deadline requires, and within each kind
//! those with the lowest cost first.

use vg_base::prelude::*;

use crate::Scheduler;
use crate::pools::maintain::WAVE_MARGIN;

/// Time from the choice of a machine to its return, without the maintenance itself.
const CYCLE_OVERHEAD: Duration = Duration::from_millis(1800);
/// Shortest time over which the remaining machines of a wave are spread.
const MIN_REMAINING: Duration = Duration::from_millis(500);

/// Cost of taking a machine out of service now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Cost {
    /// Whether tasks wait for its pool.
    needed: bool,
    /// Number of continuous tasks that have to move.
    continuous: usize,
    attempts: usize,
}

/// Machines of one kind that are left, and how many of these are out of service.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    remaining: usize,
    out: usize,
}

impl Share {
    /// Returns how many more machines have to be out of service so that all have been
    /// within `time`, if each is for `cycle`.
    fn missing(&self, cycle: Duration, time: Duration, max_down: usize) -> usize {
        let time = time.max(MIN_REMAINING).as_secs_f64();
        let wanted = (self.remaining as f64 * cycle.as_secs_f64() / time).ceil() as usize;
        wanted.min(max_down).saturating_sub(self.out)
    }
}

impl Scheduler {
    /// Starts to drain machines of a wave, until as many of each kind are out of service
    /// as its deadline requires.
    pub(crate) fn choose_machines(&mut self, number: u64, now: Instant) {
        let active = &self.machines.waves[&number];
        if now < self.machines.hold_until || active.remaining().next().is_none() {
            return;
        }
        let cycle = self.rules.maintain_time + CYCLE_OVERHEAD;
        let time = active.due.saturating_duration_since(now).saturating_sub(WAVE_MARGIN);
        let max_down = active.wave.max_down.max(1) as usize;
        let (continuous, others) = self.wave_shares(number, now);
        // Once their tasks have left, the machines still need their maintenance.
        let continuous = continuous.missing(cycle, time.saturating_sub(cycle), max_down);
        let others = others.missing(cycle, time, max_down);
        if continuous + others == 0 {
            return;
        }
        let mut candidates = self.wave_candidates(number, now);
        candidates.sort();
        let (with_tasks, without): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|(cost, _)| cost.continuous > 0);
        let chosen =
            with_tasks.into_iter().take(continuous).chain(without.into_iter().take(others));
        for (_, machine) in chosen {
            self.start_draining(number, machine, now);
        }
    }

    /// Returns the machines of a wave that have continuous tasks, and the others.
    fn wave_shares(&self, number: u64, now: Instant) -> (Share, Share) {
        let active = &self.machines.waves[&number];
        let (mut continuous, mut others) = (Share::default(), Share::default());
        for machine in active.remaining() {
            let worker = self.worker_on(machine).map(|key| &self.workers[key]);
            let has_continuous = worker.is_some_and(|worker| self.has_continuous(worker));
            let share = if has_continuous { &mut continuous } else { &mut others };
            share.remaining += 1;
            share.out += usize::from(active.draining.contains_key(machine));
        }
        others.out += active.down_count(now);
        (continuous, others)
    }

    /// Returns the machines of a wave that could be drained now, with their costs.
    fn wave_candidates(&self, number: u64, now: Instant) -> Vec<(Cost, SmolStr)> {
        let active = &self.machines.waves[&number];
        let candidates = active
            .remaining()
            .filter(|each| !active.draining.contains_key(*each))
            .filter(|each| self.machines.may_command(each, now))
            .filter(|each| self.is_up(each) && self.is_state_known(each, now));
        candidates.map(|each| (self.cost(each), each.clone())).collect()
    }

    fn start_draining(&mut self, number: u64, machine: SmolStr, now: Instant) {
        if let Some(key) = self.worker_on(&machine) {
            self.workers[key].cordoned = true;
        }
        if let Some(active) = self.machines.waves.get_mut(&number) {
            active.draining.insert(machine, now);
        }
    }

    fn cost(&self, machine: &SmolStr) -> Cost {
        let Some(key) = self.worker_on(machine) else {
            return Cost { needed: false, continuous: 0, attempts: 0 };
        };
        let worker = &self.workers[key];
        let is_continuous = |&&attempt: &&crate::jobs::attempt::AttemptKey| {
            self.spec_of(self.attempts[attempt].task).is_some_and(|spec| spec.continuous)
        };
        Cost {
            needed: self.has_waiting_tasks(&worker.incarnation.pool),
            continuous: worker.attempts.iter().filter(is_continuous).count(),
            attempts: worker.attempts.len(),
        }
    }

    /// Whether tasks wait for capacity of a pool.
    fn has_waiting_tasks(&self, pool: &PoolId) -> bool {
        let mut open = self.jobs.values().filter(|job| job.pool() == pool && job.is_open());
        open.any(|job| job.ready_steps().any(|ready| !ready.step.waiting.is_empty()))
    }

    /// Whether a machine has maintenance ahead of it.
    pub(crate) fn awaits_maintenance(&self, machine: Option<&SmolStr>) -> bool {
        let Some(machine) = machine else { return false };
        self.machines.waves.values().any(|active| active.awaits(machine))
    }
}
