//! What a worker says about one attempt.

use bytes::Bytes;
use snafu::Snafu;

use crate::Attempt;

/// A worker's word on an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// The task runs.
    Running,
    /// The attempt was never started here and, from now on, never will be.
    NeverStarted,
    /// The worker has no trace of the attempt, which has expired, and can't
    /// prove that it never ran: it may have restarted since.
    UnknownAttempt,
    /// The start failed before any of the task ran.
    StartFailed,
    /// The worker has no room for the task and did not start it.
    InsufficientCapacity,
    /// The task ran to its end.
    Exited {
        /// Exit code.
        exit: i32,
    },
    /// The task was stopped. With a checkpoint it ran nothing after it.
    Stopped {
        /// What a later attempt resumes from.
        checkpoint: Option<Bytes>,
    },
    /// The task runs on; no checkpoint could be written.
    CheckpointFailed,
}

/// Why a report was not taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReportError {
    /// No such job is open or retained.
    #[snafu(display("the job is not known"))]
    UnknownJob,
    /// A later attempt or another worker has the job now.
    #[snafu(display("attempt {attempt} is not the current one"))]
    StaleAttempt {
        /// The reported attempt.
        attempt: Attempt,
    },
    /// The job's end stands already.
    #[snafu(display("the job has ended"))]
    Finished,
}
