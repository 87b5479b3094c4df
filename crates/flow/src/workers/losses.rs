//! Attempts that were lost with their worker, as told to operators.

use derive_more::Display;
use vg_base::prelude::*;

use crate::jobs::attempt::{AttemptKey, Phase};
use crate::scheduler::Removal;
use crate::{AttemptNumber, LeaseCause, Scheduler, TaskId};

/// How the loss of an attempt was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum LossCause {
    /// A later incarnation of the worker, or a later worker on its machine, was seen.
    #[display("restarted")]
    Restarted,
    /// The worker did not answer until its lease had expired, which lasted for a cause.
    #[display("lease")]
    LeaseExpired(LeaseCause),
}

impl LossCause {
    /// Returns why the lease of the worker was taken to last until its end; `None` if the
    /// loss was found otherwise.
    pub fn lease_cause(self) -> Option<LeaseCause> {
        match self {
            LossCause::Restarted => None,
            LossCause::LeaseExpired(cause) => Some(cause),
        }
    }
}

/// An attempt that was lost with its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostAttempt {
    /// Its task.
    pub task: TaskId,
    /// Its number.
    pub attempt: AttemptNumber,
    /// The worker that it was started on.
    pub worker: HostId,
    /// Time from its start command until polls of the worker failed, or until the loss
    /// was found if none had failed. An attempt of an earlier leader is older than that.
    pub age: Duration,
    /// How the loss was found.
    pub cause: LossCause,
}

impl Scheduler {
    /// Returns the attempts that were lost since the last call.
    pub fn take_losses(&mut self) -> Vec<LostAttempt> {
        std::mem::take(&mut self.losses)
    }

    /// Removes an attempt that was lost with its worker.
    pub(crate) fn lose_attempt(&mut self, key: AttemptKey, cause: LossCause, now: Instant) {
        if self.attempts[key].phase == Phase::Starting {
            // Its answer may come late or never.
            self.remember_start(key, now);
        }
        let attempt = &self.attempts[key];
        let worker = &self.workers[attempt.worker];
        let until = worker.unreachable_since.unwrap_or(now);
        self.counts.lost += 1;
        self.losses.push(LostAttempt {
            task: attempt.task,
            attempt: attempt.attempt,
            worker: worker.incarnation.id.clone(),
            age: until.saturating_duration_since(attempt.started),
            cause,
        });
        self.remove_attempt(key, Removal::Ended, now);
    }
}
