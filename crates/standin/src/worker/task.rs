//! One task.

use vg_base::prelude::*;

use crate::RunGuard;
use crate::worker::{Capacity, TaskSpec, TaskState, TaskStatus};

/// Full speed, in percent.
const FULL_SPEED: u32 = 100;

/// A task, its progress and its lease.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) spec: TaskSpec,
    pub(crate) state: TaskState,
    progress: Duration,
    checkpoint: Duration,
    speed: u32,
    updated: Instant,
    lapses: Instant,
    run: Option<RunGuard>,
}

impl Task {
    /// Starts a task; `run` records that it runs.
    pub(crate) fn start(spec: TaskSpec, run: RunGuard, now: Instant) -> Task {
        let resume = Duration::from_millis(spec.resume_ms);
        Task {
            state: TaskState::Running,
            progress: resume,
            checkpoint: resume,
            speed: FULL_SPEED,
            updated: now,
            lapses: now + Duration::from_millis(spec.lease_ms),
            run: Some(run),
            spec,
        }
    }

    /// Whether the task runs.
    pub(crate) fn runs(&self) -> bool {
        self.state == TaskState::Running
    }

    /// Moves the task on to `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        if !self.runs() {
            return;
        }
        let until = now.min(self.lapses);
        self.progress += until.saturating_duration_since(self.updated) * self.speed / FULL_SPEED;
        self.updated = self.updated.max(until);
        let time = Duration::from_millis(self.spec.run_ms);
        if self.progress >= time {
            self.progress = time;
            self.end(TaskState::Finished { exit: self.spec.exit });
        } else if self.lapses <= now {
            self.end(TaskState::LeaseExpired);
        }
    }

    /// Ends the task.
    pub(crate) fn end(&mut self, state: TaskState) {
        self.state = state;
        self.run = None;
    }

    /// Renews the lease.
    pub(crate) fn renew(&mut self, ttl: Duration, now: Instant) {
        self.lapses = now + ttl;
    }

    /// Makes a checkpoint.
    pub(crate) fn save(&mut self) {
        self.checkpoint = self.progress;
    }

    /// Sets the speed, in percent.
    pub(crate) fn throttle(&mut self, percent: u32) {
        self.speed = percent.min(FULL_SPEED);
    }

    /// Returns the task as it is reported.
    pub(crate) fn status(&self) -> TaskStatus {
        TaskStatus {
            task: self.spec.task.clone(),
            job: self.spec.job,
            attempt: self.spec.attempt,
            state: self.state,
            progress_ms: millis(self.progress),
            checkpoint_ms: millis(self.checkpoint),
            usage: if self.runs() { self.spec.usage() } else { Capacity::default() },
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
