//! Moves continuous tasks away from machines that are needed.
//!
//! Load that this module handles: tasks of one step are on many machines of a
//! maintenance wave, and only a few of them may be unavailable at once, so that they
//! need most of the wave's time to leave. If they left only when their machine's turn
//! came, the wave would be late. So they leave from the start of the wave on, whatever
//! machines are drained now, to machines that await no maintenance. Tasks in a drained
//! zone ([`crate::pools::zone_exit`]) leave it in the same way.

use std::collections::{HashMap, HashSet};

use vg_base::prelude::*;

use crate::jobs::attempt::AttemptKey;
use crate::jobs::occurrence::Task;
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StepId, StopReason};

/// Added to the time that a worker takes to stop an attempt.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Interval between two passes over the tasks on the machines of a wave.
const PASS_INTERVAL: Duration = Duration::from_millis(100);

/// A pass over continuous tasks that have to leave their workers.
#[derive(Debug, Default)]
pub(crate) struct EvictionPass {
    /// Workers that can take tasks, by pool.
    targets: HashMap<PoolId, Vec<WorkerKey>>,
    /// Steps that have a task without a place.
    stuck_steps: HashSet<StepId>,
    /// Steps that let no further available task stop.
    exhausted_steps: HashSet<StepId>,
}

impl EvictionPass {
    /// Whether a step has a task without a place.
    pub(crate) fn is_stuck(&self, step: StepId) -> bool {
        self.stuck_steps.contains(&step)
    }

    /// Returns the workers of a pool that can take tasks; `find` is called once for each
    /// pool.
    pub(crate) fn targets(
        &mut self,
        pool: &PoolId,
        find: impl FnOnce(&PoolId) -> Vec<WorkerKey>,
    ) -> &[WorkerKey] {
        self.targets.entry(pool.clone()).or_insert_with_key(find)
    }
}

impl Scheduler {
    /// Evicts continuous tasks from machines that await their maintenance, if there is a
    /// machine without maintenance ahead of it that has room for them.
    pub(crate) fn evict_for_wave(&mut self, number: u64, now: Instant) {
        let Some(active) = self.machines.waves.get_mut(&number) else { return };
        let is_due =
            active.evicted.is_none_or(|at| now.saturating_duration_since(at) >= PASS_INTERVAL);
        if !is_due || now < self.machines.hold_until {
            return;
        }
        active.evicted = Some(now);
        let mut pass = EvictionPass::default();
        for attempt in self.tasks_to_evict(number) {
            let find_target = |scheduler: &Scheduler, pass: &mut EvictionPass, pool: &PoolId| {
                let workers = pass.targets(pool, |pool| scheduler.wave_targets(pool, now));
                scheduler.eviction_target(attempt, workers, now)
            };
            self.evict(attempt, &mut pass, StopReason::MachineNeeded, find_target, now);
        }
    }

    /// Stops an attempt of a continuous task so that it moves, if the budget of its step
    /// allows it and `find_target` finds a worker for it. Otherwise its pool needs
    /// another machine. Returns that worker.
    pub(crate) fn evict(
        &mut self,
        attempt: AttemptKey,
        pass: &mut EvictionPass,
        reason: StopReason,
        find_target: impl Fn(&Scheduler, &mut EvictionPass, &PoolId) -> Option<WorkerKey>,
        now: Instant,
    ) -> Option<WorkerKey> {
        let (step, worker) = (self.attempts[attempt].task.step, self.attempts[attempt].worker);
        if pass.is_stuck(step) || !self.budget_allows(attempt, pass, now) {
            return None;
        }
        let pool = self.workers[worker].incarnation.pool.clone();
        let target = find_target(self, pass, &pool);
        match target {
            Some(_) => self.stop_attempt(attempt, reason, now),
            None => {
                pass.stuck_steps.insert(step);
                self.unplaced_pools.insert(pool);
            }
        }
        target
    }

    /// Whether the budget of its step lets an attempt stop. The answer is the same for all
    /// available tasks of a step.
    fn budget_allows(&self, attempt: AttemptKey, pass: &mut EvictionPass, now: Instant) -> bool {
        let step = self.attempts[attempt].task.step;
        let is_available = self.is_available(attempt, now);
        if is_available && pass.exhausted_steps.contains(&step) {
            return false;
        }
        let allowed = self.may_interrupt(attempt, now);
        if is_available && !allowed {
            pass.exhausted_steps.insert(step);
        }
        allowed
    }

    /// Returns the attempts of continuous tasks on machines of a wave, those on machines
    /// that are being drained first.
    fn tasks_to_evict(&self, number: u64) -> Vec<AttemptKey> {
        let active = &self.machines.waves[&number];
        let mut found: Vec<(bool, usize, AttemptKey)> = Vec::new();
        for machine in active.remaining() {
            let Some(key) = self.worker_on(machine) else { continue };
            let worker = &self.workers[key];
            let waits = !active.draining.contains_key(machine);
            let movable = worker.attempts.iter().filter(|&&each| self.is_movable_task(each));
            found.extend(movable.map(|&each| (waits, worker.attempts.len(), each)));
        }
        found.sort_unstable();
        found.into_iter().map(|(_, _, attempt)| attempt).collect()
    }

    /// Returns the eviction targets of a pool whose machines await no maintenance.
    fn wave_targets(&self, pool: &PoolId, now: Instant) -> Vec<WorkerKey> {
        let targets = self.eviction_targets(pool, now).into_iter();
        targets
            .filter(|&key| !self.awaits_maintenance(self.workers[key].machine.as_ref()))
            .collect()
    }

    /// Returns the workers of a pool that can be given work. There are none while the
    /// pool has unresolved work, because a task that is stopped could not start again.
    pub(crate) fn eviction_targets(&self, pool: &PoolId, now: Instant) -> Vec<WorkerKey> {
        if self.unresolved.affects_pool(pool) {
            return Vec::new();
        }
        self.usable_workers(pool, now)
    }

    /// Returns the one of `workers` that the task of an attempt would move to; `None` if
    /// none has room.
    fn eviction_target(
        &self,
        attempt: AttemptKey,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let task = self.attempts[attempt].task;
        let job = *self.job_ids.get(&task.step.job)?;
        self.find_worker(job, task, workers, now)
    }

    /// Whether an attempt is of a continuous task and runs.
    fn is_movable_task(&self, attempt: AttemptKey) -> bool {
        let state = &self.attempts[attempt];
        state.is_running() && self.spec_of(state.task).is_some_and(|spec| spec.continuous)
    }

    /// Stops continuous tasks on a worker so that they move, within the
    /// disruption budgets of their steps.
    pub(crate) fn evict_continuous(&mut self, key: WorkerKey, now: Instant) {
        // A task that is stopped could not start again while the pool has
        // unresolved work.
        if self.unresolved.affects_pool(&self.workers[key].incarnation.pool) {
            return;
        }
        if !self.has_usable_alternative(key, now) {
            return;
        }
        for attempt in self.workers[key].attempts.clone() {
            if self.is_movable_task(attempt) && self.may_interrupt(attempt, now) {
                self.stop_attempt(attempt, StopReason::MachineNeeded, now);
            }
        }
    }

    /// Whether the scheduler may stop an attempt of a continuous task now:
    /// fewer other tasks of its step are unavailable than the step allows.
    fn may_interrupt(&self, attempt: AttemptKey, now: Instant) -> bool {
        let task = self.attempts[attempt].task;
        let Some(job) = self.job_of(task) else { return true };
        let Some(spec) = self.spec_of(task) else { return true };
        let Some(max_unavailable) = spec.max_unavailable else { return true };
        let Some(step) = job.step(task.step.occurrence, task.step.step) else { return true };
        let available =
            |task: &Task| task.attempts.iter().any(|&attempt| self.is_available(attempt, now));
        let others = step.tasks.iter().enumerate().filter(|(at, _)| *at as u32 != task.index);
        let unavailable = others.filter(|(_, other)| !available(other)).count();
        unavailable < max_unavailable as usize
    }

    /// Whether an attempt of a continuous task serves.
    fn is_available(&self, attempt: AttemptKey, now: Instant) -> bool {
        let attempt = &self.attempts[attempt];
        let stop_window = self.rules.stop_time + STOP_MARGIN;
        // An attempt that was found just now may be stopping already, because of a
        // command of an earlier leader.
        let known = now.saturating_duration_since(attempt.started) > stop_window;
        let healthy =
            attempt.is_running() && self.workers[attempt.worker].unreachable_since.is_none();
        known && healthy && attempt.percent >= 100
    }
}
