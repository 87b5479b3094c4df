//! Moves continuous tasks away from machines that are needed.
//!
//! Load that this module handles: tasks of one step are on many machines of a
//! maintenance wave, and only a few of them may be unavailable at once, so that they
//! need most of the wave's time to leave. If they left only when their machine's turn
//! came, the wave would be late. So they leave from the start of the wave on, whatever
//! machines are drained now, to machines that await no maintenance.

use std::collections::{HashMap, HashSet};

use vg_base::prelude::*;

use crate::attempt::AttemptKey;
use crate::job::Task;
use crate::worker::WorkerKey;
use crate::{Scheduler, StopReason};

/// Added to the time that a worker takes to stop an attempt.
const STOP_MARGIN: Duration = Duration::from_millis(300);
/// Interval between two passes over the tasks on the machines of a wave.
const PASS_INTERVAL: Duration = Duration::from_millis(100);

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
        let mut targets = HashMap::new();
        let mut stuck_steps = HashSet::new();
        for attempt in self.tasks_to_evict(number) {
            let (step, worker) = (self.attempts[attempt].task.step, self.attempts[attempt].worker);
            if stuck_steps.contains(&step) || !self.may_interrupt(attempt, now) {
                continue;
            }
            let pool = self.workers[worker].incarnation.pool.clone();
            let known = targets.entry(pool.clone());
            let workers = known.or_insert_with_key(|pool| self.eviction_targets(pool, now));
            if self.has_room(attempt, workers, now) {
                self.stop_attempt(attempt, StopReason::MachineNeeded, now);
            } else {
                stuck_steps.insert(step);
                self.unplaced_pools.insert(pool);
            }
        }
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

    /// Returns the workers of a pool that can be given work and whose machines await no
    /// maintenance. There are none while the pool has unresolved work, because a task
    /// that is stopped could not start again.
    fn eviction_targets(&self, pool: &PoolId, now: Instant) -> Vec<WorkerKey> {
        if self.unresolved.affects_pool(pool) {
            return Vec::new();
        }
        let usable = self.usable_workers(pool, now).into_iter();
        usable.filter(|&key| !self.awaits_maintenance(self.workers[key].machine.as_ref())).collect()
    }

    /// Whether one of `workers` has room for the task of an attempt.
    fn has_room(&self, attempt: AttemptKey, workers: &[WorkerKey], now: Instant) -> bool {
        let task = self.attempts[attempt].task;
        let job = self.job_ids.get(&task.step.job);
        job.is_some_and(|&job| self.find_worker(job, task, workers, now).is_some())
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
        let stop_window = self.rules.stop_time + STOP_MARGIN;
        let available = |task: &Task| {
            task.attempts.iter().any(|&attempt| {
                let attempt = &self.attempts[attempt];
                // An attempt that was found just now may be stopping already,
                // because of a command of an earlier leader.
                let known = now.saturating_duration_since(attempt.started) > stop_window;
                let healthy = attempt.is_running()
                    && self.workers[attempt.worker].unreachable_since.is_none();
                known && healthy && attempt.percent >= 100
            })
        };
        let others = step.tasks.iter().enumerate().filter(|(at, _)| *at as u32 != task.index);
        let unavailable = others.filter(|(_, other)| !available(other)).count();
        unavailable < max_unavailable as usize
    }
}
