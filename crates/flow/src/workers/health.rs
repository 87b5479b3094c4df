//! Detection of workers that fail or stall, by the attempts on them.

use vg_base::prelude::*;

use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StopReason};

/// Number of jobs with failed attempts in a row after which a worker is put
/// into backoff.
const MAX_FAILED_JOBS: usize = 3;
/// First backoff of a worker on which everything fails, which doubles each
/// time; also the backoff of a worker on which an attempt stalled.
const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Minimum time without progress after which an attempt counts as stalled.
const MIN_STALL_TIME: Duration = Duration::from_millis(1300);
/// Fraction of the estimate without progress after which an attempt counts as
/// stalled; progress is reported in whole percents.
const STALL_ESTIMATE_FRACTION: f64 = 0.05;

impl Scheduler {
    /// Records an attempt that completed its task.
    pub(crate) fn record_success(&mut self, worker: WorkerKey) {
        let worker = &mut self.workers[worker];
        worker.failed_jobs.clear();
        worker.backoffs = 0;
    }

    /// Records a failed attempt. A job counts once, so that a job that always
    /// fails does not by itself put any worker into backoff.
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

    /// Stops attempts that make no progress and gives their tasks to other
    /// workers.
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
                    // Nearly all attempts have progressed within the minimum.
                    let pause = at.saturating_duration_since(attempt.last_progress);
                    if pause <= MIN_STALL_TIME {
                        return false;
                    }
                    let since = self.warm_since(attempt.worker, attempt.last_progress);
                    at.saturating_duration_since(since) > self.stall_time(attempt)
                })
            })
            .filter(|(key, _)| self.has_alternative(*key, now))
            .map(|(key, attempt)| (key, attempt.task, attempt.worker))
            .collect();
        for (key, task, worker) in stalled {
            let attempt = self.attempts[key].clone();
            self.record_evidence(&attempt, true, now);
            self.avoid_worker(task, worker);
            self.back_off(worker, now + FIRST_BACKOFF);
            self.stop_attempt(key, StopReason::Stalled, now);
        }
    }

    /// Returns the time without progress after which an attempt counts as
    /// stalled; `Duration::MAX` for attempts that never do.
    fn stall_time(&self, attempt: &crate::jobs::attempt::Attempt) -> Duration {
        let Some(step) = self.spec_of_attempt(attempt) else { return Duration::MAX };
        if step.gang || step.best_effort {
            return Duration::MAX;
        }
        let rack_factor =
            if step.data_rack.is_some() || step.same_rack { self.rules.remote_factor } else { 1.0 };
        // A continuous task shows no progress while it starts up.
        let startup_time = if step.continuous { Duration::from_secs(3) } else { Duration::ZERO };
        let longest = self.longest_time(attempt, step);
        MIN_STALL_TIME.max(longest.mul_f64(STALL_ESTIMATE_FRACTION * rack_factor)) + startup_time
    }
}
