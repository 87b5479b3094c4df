//! Answers of a worker.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::worker::Capacity;

/// How far a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It has ended by itself.
    Finished {
        /// Exit status; 0 is success.
        exit: i32,
    },
    /// It was stopped.
    Stopped,
    /// Its lease lapsed and the worker stopped it.
    #[serde(rename = "lapsed")]
    LeaseExpired,
}

/// A task as the worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task.
    pub task: SmolStr,
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: u64,
    /// How far it is.
    #[serde(flatten)]
    pub state: TaskState,
    /// Progress in milliseconds at full speed.
    pub progress_ms: u64,
    /// Progress at the last checkpoint.
    pub checkpoint_ms: u64,
    /// What it takes while it runs.
    pub usage: Capacity,
}

/// `GET /tasks`
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TasksResponse {
    /// Name of the host.
    pub worker: HostId,
    /// Grows with each start of the worker and each lapse of its lease.
    pub incarnation: Incarnation,
    /// What the worker has.
    pub capacity: Capacity,
    /// What the tasks took a while ago.
    pub usage: Capacity,
    /// Running tasks, and ended ones that have not been forgotten.
    pub tasks: Vec<TaskStatus>,
}
