//! The states of a job and the transitions between them.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why a job failed for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum FailureCause {
    /// The task exited with this code.
    #[display("exit {_0}")]
    Exit(i32),
    /// The attempts of the job are used up.
    #[display("attempts used up")]
    Attempts,
}

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum JobState {
    /// The job waits for a worker.
    #[display("queued")]
    Queued,
    /// The job is assigned to a worker. The start is not sent until the assignment
    /// is durable.
    #[display("placed")]
    Placed,
    /// The start was sent, and the worker has not reported yet that the job runs.
    #[display("starting")]
    Starting,
    /// The job runs.
    #[display("running")]
    Running,
    /// The job runs and was asked to write a checkpoint and stop.
    #[display("checkpointing")]
    Checkpointing,
    /// The job was stopped at a checkpoint and waits for a worker to resume on.
    #[display("stopped")]
    Stopped,
    /// The job finished successfully.
    #[display("done")]
    Done {
        /// Exit code.
        exit: i32,
    },
    /// The job failed for good.
    #[display("failed: {cause}")]
    Failed {
        /// Cause of the failure.
        cause: FailureCause,
    },
    /// The job was cancelled and is known not to run any more.
    #[display("cancelled")]
    Cancelled,
    /// The job may have run, wholly or in part, and must not run again.
    #[display("unknown")]
    Unknown,
    /// No host of the pool could hold the job, even if the host were empty. The job
    /// waits for a host that can.
    #[display("cannot-run")]
    CannotRun,
}

impl JobState {
    /// Whether the state is final, so that it never changes again.
    pub fn is_final(self) -> bool {
        use JobState::*;
        matches!(self, Done { .. } | Failed { .. } | Cancelled | Unknown)
    }

    /// Whether the job waits for a worker.
    pub fn is_waiting(self) -> bool {
        matches!(self, JobState::Queued | JobState::Stopped)
    }

    /// Whether an attempt holds resources on a worker.
    pub fn is_live(self) -> bool {
        use JobState::*;
        matches!(self, Placed | Starting | Running | Checkpointing)
    }

    /// Checks the transition to the state `to`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such transition.
    pub fn transition(self, to: JobState) -> Result<Transition, TransitionError> {
        let error = TransitionError { from: self, to };
        if self.allows(to) { Ok(Transition { from: self, to }) } else { Err(error) }
    }

    /// Whether the transition to `to` exists.
    fn allows(self, to: JobState) -> bool {
        use JobState::*;
        match self {
            Queued => matches!(to, Placed | Cancelled | CannotRun | Unknown),
            Stopped => matches!(to, Placed | Cancelled | CannotRun | Unknown),
            CannotRun => matches!(to, Queued | Stopped | Cancelled),
            Placed => to != CannotRun && to != Placed,
            Starting => !matches!(to, CannotRun | Placed | Starting),
            Running => !matches!(to, CannotRun | Placed | Starting | Running),
            Checkpointing => !matches!(to, CannotRun | Placed | Starting | Checkpointing),
            Done { .. } | Failed { .. } | Cancelled | Unknown => false,
        }
    }
}

/// A change of a job's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{from} -> {to}")]
pub struct Transition {
    /// State before.
    pub from: JobState,
    /// State after.
    pub to: JobState,
}

/// A transition that is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a job can't go from {from} to {to}"))]
pub struct TransitionError {
    /// State before.
    pub from: JobState,
    /// State that can't follow.
    pub to: JobState,
}
