//! The states of a job and the steps between them.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why a job failed for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum FailureCause {
    /// It ran to its end with this exit code.
    #[display("exit {_0}")]
    Exit(i32),
    /// Its attempts are used up.
    #[display("attempts used up")]
    Attempts,
}

/// The state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
pub enum JobState {
    /// Waits for a worker.
    #[display("queued")]
    Queued,
    /// Has a worker; its attempt is not sent until that is durable.
    #[display("placed")]
    Placed,
    /// The start was sent; the worker has not said that it runs.
    #[display("starting")]
    Starting,
    /// Runs.
    #[display("running")]
    Running,
    /// Runs, and was asked to write a checkpoint and stop.
    #[display("checkpointing")]
    Checkpointing,
    /// Stopped at a checkpoint; waits for a worker to resume on.
    #[display("stopped")]
    Stopped,
    /// Ended well.
    #[display("done")]
    Done {
        /// Exit code.
        exit: i32,
    },
    /// Failed for good.
    #[display("failed: {cause}")]
    Failed {
        /// Why.
        cause: FailureCause,
    },
    /// Cancelled; proved to run no more.
    #[display("cancelled")]
    Cancelled,
    /// It may have run, wholly or in part, and may not run again.
    #[display("unknown")]
    Unknown,
    /// No host of the pool could hold it, even empty. Waits for one that can.
    #[display("cannot-run")]
    CannotRun,
}

impl JobState {
    /// Whether nothing more happens to the job.
    pub fn is_final(self) -> bool {
        use JobState::*;
        matches!(self, Done { .. } | Failed { .. } | Cancelled | Unknown)
    }

    /// Whether the job waits for a worker.
    pub fn is_waiting(self) -> bool {
        matches!(self, JobState::Queued | JobState::Stopped)
    }

    /// Whether an attempt holds room on a worker.
    pub fn is_live(self) -> bool {
        use JobState::*;
        matches!(self, Placed | Starting | Running | Checkpointing)
    }

    /// Checks a step to `to`.
    ///
    /// # Errors
    ///
    /// When no such step exists.
    pub fn transition(self, to: JobState) -> Result<Transition, TransitionError> {
        let error = TransitionError { from: self, to };
        if self.allows(to) { Ok(Transition { from: self, to }) } else { Err(error) }
    }

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

/// A step that a job took.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{from} -> {to}")]
pub struct Transition {
    /// State before.
    pub from: JobState,
    /// State after.
    pub to: JobState,
}

/// A step that no job can take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a job can't go from {from} to {to}"))]
pub struct TransitionError {
    /// State before.
    pub from: JobState,
    /// Refused state.
    pub to: JobState,
}
