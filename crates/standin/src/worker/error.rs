//! Reasons for which a worker refuses a request.

use http::StatusCode;
use snafu::Snafu;
use vg_base::prelude::*;

use crate::web::Problem;
use crate::worker::Capacity;

/// The reason for which a worker refused a request.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TaskError {
    /// The worker has seen this attempt of the job or a higher one.
    #[snafu(display("attempt {seen} of job {job} was seen"))]
    StaleAttempt {
        /// The job.
        job: JobId,
        /// Highest attempt of the job that the worker has seen.
        seen: u64,
    },
    /// An owner with a higher epoch has renewed the lease.
    #[snafu(display("an owner of epoch {seen} was seen"))]
    StaleOwner {
        /// Highest epoch that the worker has seen.
        seen: Epoch,
    },
    /// The message is addressed to another incarnation of the worker.
    #[snafu(display("this is incarnation {current}"))]
    OtherIncarnation {
        /// Current incarnation of the worker.
        current: Incarnation,
    },
    /// The task needs more resources than the running tasks leave unreserved.
    #[snafu(display("there is no room: free are {free:?}"))]
    InsufficientCapacity {
        /// Resources that are not reserved.
        free: Capacity,
    },
    /// The message arrived after the latest time at which the task may start.
    #[snafu(display("the latest time to start has passed"))]
    TooLate,
    /// The id belongs to a task with another specification.
    #[snafu(display("the id is that of another task"))]
    IdTaken,
    /// The worker does not know the task.
    #[snafu(display("no task has this id"))]
    UnknownTask,
    /// The task is no longer running.
    #[snafu(display("the task has ended"))]
    NotRunning,
    /// The task is still running.
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
