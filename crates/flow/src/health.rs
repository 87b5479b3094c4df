//! Workers that fail or stall, found by what their runs do.

use vg_base::prelude::*;

use crate::worker::WorkerKey;
use crate::{Scheduler, StopReason};

/// Failed runs of different jobs in a row that put a worker to rest.
const FAILURES_MAX: usize = 3;
/// First rest of a worker that fails all; it doubles each time.
const REST: Duration = Duration::from_secs(2);
/// Most doublings of the rest.
const DOUBLINGS_MAX: u32 = 3;
/// Time without progress after which a run counts as stalled.
const STALL: Duration = Duration::from_millis(1300);
/// Part of the estimate without progress after which a run counts as stalled;
/// progress comes in whole percents.
const STALL_PART: f64 = 0.05;

impl Scheduler {
    /// Notes a run that ended well.
    pub(crate) fn note_good(&mut self, worker: WorkerKey) {
        let worker = &mut self.workers[worker];
        worker.failures.clear();
        worker.rests = 0;
    }

    /// Notes a failed run. A job that always fails counts once, so that it
    /// condemns no worker.
    pub(crate) fn note_bad(&mut self, worker: WorkerKey, job: JobId, now: Instant) {
        let state = &mut self.workers[worker];
        if !state.failures.contains(&job) {
            state.failures.push(job);
        }
        if state.failures.len() >= FAILURES_MAX {
            state.failures.clear();
            let rest = REST * 2u32.pow(state.rests.min(DOUBLINGS_MAX));
            state.rests += 1;
            self.rest(worker, now + rest);
        }
    }

    /// Stops runs that make no progress and gives their tasks to others.
    pub(crate) fn stop_stalled(&mut self, now: Instant) {
        let stalled: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| {
                attempt.is_running() && attempt.percent < 100 && attempt.pace == 100
            })
            .filter(|(_, attempt)| {
                let answered = self.workers[attempt.worker].answered;
                answered.is_some_and(|at| {
                    at.saturating_duration_since(attempt.moved) > self.stall(attempt)
                })
            })
            .map(|(key, attempt)| (key, attempt.task, attempt.worker))
            .collect();
        for (key, task, worker) in stalled {
            self.avoid(task, worker);
            self.rest(worker, now + REST);
            self.stop_attempt(key, StopReason::Stalled, now);
        }
    }

    fn stall(&self, attempt: &crate::attempt::Attempt) -> Duration {
        let Some(step) = self.spec_of(attempt.task) else { return Duration::MAX };
        if step.gang || step.best_effort {
            return Duration::MAX;
        }
        let far =
            if step.data_rack.is_some() || step.same_rack { self.rules.remote_factor } else { 1.0 };
        // A lasting task shows no progress while it starts up.
        let start = if step.continuous { Duration::from_secs(3) } else { Duration::ZERO };
        STALL.max(step.estimate.mul_f64(STALL_PART * far)) + start
    }
}
