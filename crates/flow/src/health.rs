//! Workers that fail or stall, found by what their runs do.

use vg_base::prelude::*;

use crate::worker::WorkerKey;
use crate::{Scheduler, StopReason};

/// Failed runs of different jobs in a row that put a worker to rest.
const MAX_FAILED_JOBS: usize = 3;
/// First rest of a worker that fails all; it doubles each time.
const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// Most doublings of the rest.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Time without progress after which a run counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(1300);
/// Part of the estimate without progress after which a run counts as stalled;
/// progress comes in whole percents.
const STALL_ESTIMATE_FRACTION: f64 = 0.05;

impl Scheduler {
    /// Notes a run that ended well.
    pub(crate) fn record_success(&mut self, worker: WorkerKey) {
        let worker = &mut self.workers[worker];
        worker.failed_jobs.clear();
        worker.backoffs = 0;
    }

    /// Notes a failed run. A job that always fails counts once, so that it
    /// condemns no worker.
    pub(crate) fn record_worker_failure(&mut self, worker: WorkerKey, job: JobId, now: Instant) {
        let state = &mut self.workers[worker];
        if !state.failed_jobs.contains(&job) {
            state.failed_jobs.push(job);
        }
        if state.failed_jobs.len() >= MAX_FAILED_JOBS {
            state.failed_jobs.clear();
            let backoff = FIRST_BACKOFF * 2u32.pow(state.backoffs.min(MAX_BACKOFF_DOUBLINGS));
            state.backoffs += 1;
            self.back_off(worker, now + backoff);
        }
    }

    /// Stops runs that make no progress and gives their tasks to others.
    pub(crate) fn stop_stalled(&mut self, now: Instant) {
        let stalled: Vec<_> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| {
                attempt.is_running() && attempt.percent < 100 && attempt.speed_percent == 100
            })
            .filter(|(_, attempt)| {
                let answered = self.workers[attempt.worker].last_poll;
                answered.is_some_and(|at| {
                    at.saturating_duration_since(attempt.last_progress) > self.stall_time(attempt)
                })
            })
            .map(|(key, attempt)| (key, attempt.task, attempt.worker))
            .collect();
        for (key, task, worker) in stalled {
            self.avoid_worker(task, worker);
            self.back_off(worker, now + FIRST_BACKOFF);
            self.stop_attempt(key, StopReason::Stalled, now);
        }
    }

    fn stall_time(&self, attempt: &crate::attempt::Attempt) -> Duration {
        let Some(step) = self.spec_of(attempt.task) else { return Duration::MAX };
        if step.gang || step.best_effort {
            return Duration::MAX;
        }
        let far =
            if step.data_rack.is_some() || step.same_rack { self.rules.remote_factor } else { 1.0 };
        // A lasting task shows no progress while it starts up.
        let start = if step.continuous { Duration::from_secs(3) } else { Duration::ZERO };
        MIN_STALL_TIME.max(step.estimate.mul_f64(STALL_ESTIMATE_FRACTION * far)) + start
    }
}
