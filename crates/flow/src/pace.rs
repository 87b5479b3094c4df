//! Filling tasks are slowed before a serving task beside them passes its
//! target for long.

use vg_base::prelude::*;

use crate::worker::WorkerKey;
use crate::{Action, Flow, TaskId};

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

impl Flow {
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
        let mut fills = false;
        for &run in &self.workers[key].runs {
            let state = &self.runs[run];
            let Some(spec) = self.spec_of(state.task) else { continue };
            fills |= spec.fills;
            if let Some(target) = spec.target
                && state.percent >= 100
            {
                let part = state.gauge / (target.as_secs_f64() * 1000.0).max(1.0);
                highest = Some(highest.map_or(part, |before| before.max(part)));
            }
        }
        highest.filter(|_| fills)
    }

    fn pace_worker(&mut self, key: WorkerKey, load: f64, now: Instant) {
        let fills: Vec<_> = self.workers[key]
            .runs
            .iter()
            .copied()
            .filter(|&run| self.runs[run].is_running())
            .filter(|&run| self.spec_of(self.runs[run].task).is_some_and(|spec| spec.fills))
            .collect();
        for run in fills {
            let state = &self.runs[run];
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
                let (task, number) = (state.task, state.run);
                self.runs[run].paced = Some(now);
                self.runs[run].pace = PACES[next];
                let life = self.workers[key].life.clone();
                let percent = PACES[next];
                self.actions.push(Action::Pace { life, task, run: number, percent });
            }
        }
    }

    /// Notes that a change of pace did not reach the worker: it is tried again.
    pub fn pace_lost(&mut self, task: TaskId, run: crate::Run) {
        if let Some(&key) = self.run_ids.get(&(task, run)) {
            let state = &mut self.runs[key];
            let at = PACES.iter().position(|&pace| pace == state.pace).unwrap_or(0);
            state.pace = PACES[at.saturating_sub(1)];
        }
    }
}
