//! Throttling of best-effort tasks, so that a latency-sensitive task on the
//! same worker does not exceed its target for long.

use vg_base::prelude::*;

use crate::jobs::job::TaskKinds;
use crate::workers::worker::WorkerKey;
use crate::{Action, Scheduler, TaskId};

/// Fraction of the latency target above which best-effort tasks are slowed
/// down.
const SLOW_DOWN_LOAD: f64 = 0.95;
/// Fraction of the latency target below which they are sped up again.
const SPEED_UP_LOAD: f64 = 0.6;
/// Minimum time between two changes of an attempt's speed, of which the second
/// is a step down.
const SLOW_DOWN_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two changes of an attempt's speed, of which the second
/// is a step up.
const SPEED_UP_INTERVAL: Duration = Duration::from_millis(1500);
/// Steps of speed in percent, from full speed to none.
const SPEED_STEPS_PERCENT: [u8; 5] = [100, 60, 30, 10, 0];

impl Scheduler {
    /// Chooses the speeds of best-effort tasks, worker by worker.
    pub(crate) fn throttle_best_effort(&mut self, now: Instant) {
        let has = |kind: fn(TaskKinds) -> bool| self.jobs.values().any(|job| kind(job.kinds));
        if !has(|kinds| kinds.best_effort) || !has(|kinds| kinds.latency_sensitive) {
            return;
        }
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let Some(load) = self.latency_load(key) else { continue };
            self.throttle_worker(key, load, now);
        }
    }

    /// Returns the highest response time tail on a worker as a fraction of its
    /// target, if the worker has both latency-sensitive and best-effort tasks.
    fn latency_load(&self, key: WorkerKey) -> Option<f64> {
        let mut highest: Option<f64> = None;
        let mut best_effort = false;
        for &attempt in &self.workers[key].attempts {
            let state = &self.attempts[attempt];
            let Some(job) = self.job_of_attempt(state) else { continue };
            if !job.kinds.best_effort && !job.kinds.latency_sensitive {
                continue;
            }
            let Some(spec) = self.spec_of_attempt(state) else { continue };
            best_effort |= spec.best_effort;
            if let Some(latency_target) = spec.latency_target
                && state.percent >= 100
            {
                let load = state.gauge / (latency_target.as_secs_f64() * 1000.0).max(1.0);
                highest = Some(highest.map_or(load, |before| before.max(load)));
            }
        }
        highest.filter(|_| best_effort)
    }

    /// Moves the best-effort tasks of a worker one step of speed down or up, as
    /// its load requires.
    fn throttle_worker(&mut self, key: WorkerKey, load: f64, now: Instant) {
        let best_effort: Vec<_> = self.workers[key]
            .attempts
            .iter()
            .copied()
            .filter(|&attempt| self.attempts[attempt].is_running())
            .filter(|&attempt| {
                self.spec_of_attempt(&self.attempts[attempt]).is_some_and(|spec| spec.best_effort)
            })
            .collect();
        for attempt in best_effort {
            let state = &self.attempts[attempt];
            let since = state.speed_changed.map(|at| now.saturating_duration_since(at));
            let at = SPEED_STEPS_PERCENT
                .iter()
                .position(|&speed| speed == state.speed_percent)
                .unwrap_or(0);
            let next = if load > SLOW_DOWN_LOAD
                && since.is_none_or(|since| since >= SLOW_DOWN_INTERVAL)
            {
                (at + 1).min(SPEED_STEPS_PERCENT.len() - 1)
            } else if load < SPEED_UP_LOAD && since.is_some_and(|since| since >= SPEED_UP_INTERVAL)
            {
                at.saturating_sub(1)
            } else {
                continue;
            };
            if next != at {
                let (task, number) = (state.task, state.attempt);
                self.attempts[attempt].speed_changed = Some(now);
                self.attempts[attempt].speed_percent = SPEED_STEPS_PERCENT[next];
                let worker = &self.workers[key];
                self.actions.push(Action::Throttle {
                    incarnation: worker.incarnation.clone(),
                    token: worker.token,
                    task,
                    attempt: number,
                    percent: SPEED_STEPS_PERCENT[next],
                });
            }
        }
    }

    /// Records that a change of speed did not reach the worker. Assumes the
    /// next higher speed, so that a step down is tried again.
    pub fn throttle_failed(&mut self, task: TaskId, attempt: crate::AttemptNumber) {
        if let Some(&key) = self.attempt_ids.get(&(task, attempt)) {
            let state = &mut self.attempts[key];
            let at = SPEED_STEPS_PERCENT
                .iter()
                .position(|&speed| speed == state.speed_percent)
                .unwrap_or(0);
            state.speed_percent = SPEED_STEPS_PERCENT[at.saturating_sub(1)];
        }
    }
}
