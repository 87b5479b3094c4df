//! Reports of workers about single attempts.

use bytes::Bytes;
use snafu::Snafu;

use crate::Attempt;

/// The state of an attempt, as reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// The task runs.
    Running,
    /// The worker has not started the attempt and never will.
    NeverStarted,
    /// The worker does not know the attempt, which will not start any more, and can't
    /// prove that it never ran: the worker may have restarted since.
    UnknownAttempt,
    /// The start failed before any part of the task ran.
    StartFailed,
    /// The worker has insufficient capacity for the task and did not start it.
    InsufficientCapacity,
    /// The task exited.
    Exited {
        /// Exit code.
        exit: i32,
    },
    /// The task was stopped. If there is a checkpoint, the task ran nothing after
    /// it.
    Stopped {
        /// Checkpoint that a later attempt resumes from.
        checkpoint: Option<Bytes>,
    },
    /// The task continues to run; no checkpoint could be written.
    CheckpointFailed,
}

/// Reason why a report was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReportError {
    /// No open or retained job has this id.
    #[snafu(display("the job is not known"))]
    UnknownJob,
    /// The job has a later attempt, or is assigned to another worker.
    #[snafu(display("attempt {attempt} is not the current one"))]
    StaleAttempt {
        /// The reported attempt.
        attempt: Attempt,
    },
    /// The job has already finished, and its result does not change.
    #[snafu(display("the job has ended"))]
    Finished,
}
