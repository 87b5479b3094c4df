//! Bodies of a worker's responses.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::worker::Capacity;

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum TaskState {
    /// The task is running.
    Running,
    /// The task finished with an exit status.
    Finished {
        /// Exit status; 0 is success.
        exit: i32,
    },
    /// The task was stopped by a request.
    Stopped,
    /// The worker stopped the task because its lease or the worker's lease expired.
    #[serde(rename = "lapsed")]
    LeaseExpired,
}

/// Status of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// Id of the task.
    pub task: SmolStr,
    /// Id of the job.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: u64,
    /// State of the task.
    #[serde(flatten)]
    pub state: TaskState,
    /// Progress in milliseconds at full speed.
    pub progress_ms: u64,
    /// Progress at the last checkpoint, in milliseconds at full speed.
    pub checkpoint_ms: u64,
    /// Resources that the task uses; zero if it is not running.
    pub usage: Capacity,
}

/// Response to `GET /tasks` and `POST /lease`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TasksResponse {
    /// Name of the host.
    pub worker: HostId,
    /// Incarnation of the worker, which increases with each start of the worker and
    /// each expiry of its lease.
    pub incarnation: Incarnation,
    /// Resources of the worker.
    pub capacity: Capacity,
    /// Resources that the tasks used one reporting delay ago.
    pub usage: Capacity,
    /// Running tasks, and ended tasks that have not been forgotten, sorted by id.
    pub tasks: Vec<TaskStatus>,
}
