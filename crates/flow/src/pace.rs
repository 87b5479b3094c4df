//! Filling tasks are slowed before a serving task beside them passes its
//! target for long.

use vg_base::prelude::*;

use crate::worker::WorkerKey;
use crate::{Action, Scheduler, TaskId};

/// Part of the target from which filling tasks are slowed.
const HIGH: f64 = 0.95;
/// Part of the target below which they are let go again.
const LOW: f64 = 0.6;
/// Time between two steps down on one worker.
const DOWN_EVERY: Duration = Duration::from_millis(500);
/// Time between two steps up on one worker.
const UP_EVERY: Duration = Duration::from_millis(1500);
/// Steps of pace in percent, from full speed to none.
const PACES: [u8; 5] = [100, 60, 30, 10, 0];

impl Scheduler {
    /// Chooses the paces of filling tasks, worker by worker.
    pub(crate) fn set_paces(&mut self, now: Instant) {
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let Some(load) = self.serving_load(key) else { continue };
            self.pace_worker(key, load, now);
        }
    }

    /// Returns the highest tail on a worker in targets, if it has both serving
    /// and filling tasks.
    fn serving_load(&self, key: WorkerKey) -> Option<f64> {
        let mut highest: Option<f64> = None;
        let mut best_effort = false;
        for &attempt in &self.workers[key].attempts {
            let state = &self.attempts[attempt];
            let Some(spec) = self.spec_of(state.task) else { continue };
            best_effort |= spec.best_effort;
            if let Some(latency_target) = spec.latency_target
                && state.percent >= 100
            {
                let part = state.gauge / (latency_target.as_secs_f64() * 1000.0).max(1.0);
                highest = Some(highest.map_or(part, |before| before.max(part)));
            }
        }
        highest.filter(|_| best_effort)
    }

    fn pace_worker(&mut self, key: WorkerKey, load: f64, now: Instant) {
        let best_effort: Vec<_> = self.workers[key]
            .attempts
            .iter()
            .copied()
            .filter(|&attempt| self.attempts[attempt].is_running())
            .filter(|&attempt| {
                self.spec_of(self.attempts[attempt].task).is_some_and(|spec| spec.best_effort)
            })
            .collect();
        for attempt in best_effort {
            let state = &self.attempts[attempt];
            let since = state.paced.map(|at| now.saturating_duration_since(at));
            let at = PACES.iter().position(|&pace| pace == state.pace).unwrap_or(0);
            let next = if load > HIGH && since.is_none_or(|since| since >= DOWN_EVERY) {
                (at + 1).min(PACES.len() - 1)
            } else if load < LOW && since.is_some_and(|since| since >= UP_EVERY) {
                at.saturating_sub(1)
            } else {
                continue;
            };
            if next != at {
                let (task, number) = (state.task, state.attempt);
                self.attempts[attempt].paced = Some(now);
                self.attempts[attempt].pace = PACES[next];
                let incarnation = self.workers[key].incarnation.clone();
                let percent = PACES[next];
                self.actions.push(Action::Throttle { incarnation, task, attempt: number, percent });
            }
        }
    }

    /// Notes that a change of pace did not reach the worker: it is tried again.
    pub fn throttle_failed(&mut self, task: TaskId, attempt: crate::AttemptNumber) {
        if let Some(&key) = self.attempt_ids.get(&(task, attempt)) {
            let state = &mut self.attempts[key];
            let at = PACES.iter().position(|&pace| pace == state.pace).unwrap_or(0);
            state.pace = PACES[at.saturating_sub(1)];
        }
    }
}
