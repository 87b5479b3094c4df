//! Refusals of a worker.

use http::StatusCode;
use snafu::Snafu;
use vg_base::prelude::*;

use crate::web::Problem;
use crate::worker::Capacity;

/// Why a worker did not do as it was told.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TaskError {
    /// The attempt is fenced.
    #[snafu(display("attempt {seen} of job {job} was seen"))]
    StaleAttempt {
        /// The job.
        job: JobId,
        /// Highest attempt seen.
        seen: u64,
    },
    /// A later owner has renewed the lease.
    #[snafu(display("an owner of epoch {seen} was seen"))]
    StaleOwner {
        /// Highest epoch seen.
        seen: Epoch,
    },
    /// The message is meant for an earlier or later incarnation.
    #[snafu(display("this is incarnation {now}"))]
    OtherIncarnation {
        /// The present one.
        now: Incarnation,
    },
    /// The task does not fit beside those that run.
    #[snafu(display("there is no room: free are {free:?}"))]
    InsufficientCapacity {
        /// What is free.
        free: Capacity,
    },
    /// The message came after its latest time to start.
    #[snafu(display("the latest time to start has passed"))]
    TooLate,
    /// The id belongs to another task.
    #[snafu(display("the id is that of another task"))]
    IdTaken,
    /// There is no such task.
    #[snafu(display("no task has this id"))]
    UnknownTask,
    /// The task has ended.
    #[snafu(display("the task has ended"))]
    NotRunning,
    /// The task runs still.
    #[snafu(display("the task runs"))]
    StillRunning,
}

impl From<TaskError> for Problem {
    fn from(error: TaskError) -> Problem {
        let (status, code) = match error {
            TaskError::StaleAttempt { .. } => (StatusCode::CONFLICT, "stale-attempt"),
            TaskError::StaleOwner { .. } => (StatusCode::CONFLICT, "old-owner"),
            TaskError::OtherIncarnation { .. } => (StatusCode::CONFLICT, "other-incarnation"),
            TaskError::InsufficientCapacity { .. } => (StatusCode::CONFLICT, "no-room"),
            TaskError::TooLate => (StatusCode::CONFLICT, "too-late"),
            TaskError::IdTaken => (StatusCode::CONFLICT, "taken"),
            TaskError::UnknownTask => (StatusCode::NOT_FOUND, "no-task"),
            TaskError::NotRunning => (StatusCode::CONFLICT, "ended"),
            TaskError::StillRunning => (StatusCode::CONFLICT, "runs"),
        };
        Problem::new(status, code, error)
    }
}
