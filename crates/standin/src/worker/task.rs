//! One task of a worker.

use vg_base::prelude::*;

use crate::RunGuard;
use crate::worker::{Capacity, TaskSpec, TaskState, TaskStatus};

/// Full speed of a task, in percent.
const FULL_SPEED_PERCENT: u32 = 100;

/// A task, with its progress and its lease.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) spec: TaskSpec,
    pub(crate) state: TaskState,
    progress: Duration,
    checkpoint: Duration,
    speed_percent: u32,
    advanced_at: Instant,
    lease_deadline: Instant,
    run_guard: Option<RunGuard>,
}

impl Task {
    /// Starts a task at the progress that it resumes from. `run_guard` keeps the run
    /// active in the log until the task ends.
    pub(crate) fn start(spec: TaskSpec, run_guard: RunGuard, now: Instant) -> Task {
        let resume = Duration::from_millis(spec.resume_ms);
        Task {
            state: TaskState::Running,
            progress: resume,
            checkpoint: resume,
            speed_percent: FULL_SPEED_PERCENT,
            advanced_at: now,
            lease_deadline: now + Duration::from_millis(spec.lease_ms),
            run_guard: Some(run_guard),
            spec,
        }
    }

    /// Returns whether the task is running.
    pub(crate) fn is_running(&self) -> bool {
        self.state == TaskState::Running
    }

    /// Advances the task to `now`, or to its lease's deadline if that is earlier. Ends
    /// the task if it completes or its lease has expired.
    pub(crate) fn advance(&mut self, now: Instant) {
        if !self.is_running() {
            return;
        }
        let until = now.min(self.lease_deadline);
        self.progress += until.saturating_duration_since(self.advanced_at) * self.speed_percent
            / FULL_SPEED_PERCENT;
        self.advanced_at = self.advanced_at.max(until);
        let run_time = Duration::from_millis(self.spec.run_ms);
        if self.progress >= run_time {
            self.progress = run_time;
            self.end(TaskState::Finished { exit: self.spec.exit });
        } else if self.lease_deadline <= now {
            self.end(TaskState::LeaseExpired);
        }
    }

    /// Ends the task with the given state, and ends its run in the log.
    pub(crate) fn end(&mut self, state: TaskState) {
        self.state = state;
        self.run_guard = None;
    }

    /// Renews the lease for `ttl` from `now`.
    pub(crate) fn renew(&mut self, ttl: Duration, now: Instant) {
        self.lease_deadline = now + ttl;
    }

    /// Records the current progress as a checkpoint.
    pub(crate) fn checkpoint(&mut self) {
        self.checkpoint = self.progress;
    }

    /// Sets the speed in percent, at most full speed.
    pub(crate) fn throttle(&mut self, percent: u32) {
        self.speed_percent = percent.min(FULL_SPEED_PERCENT);
    }

    /// Returns the status of the task.
    pub(crate) fn status(&self) -> TaskStatus {
        TaskStatus {
            task: self.spec.task.clone(),
            job: self.spec.job,
            attempt: self.spec.attempt,
            state: self.state,
            progress_ms: millis(self.progress),
            checkpoint_ms: millis(self.checkpoint),
            usage: if self.is_running() { self.spec.usage() } else { Capacity::default() },
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
