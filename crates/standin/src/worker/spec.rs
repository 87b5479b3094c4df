//! Requests to a worker.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::worker::Capacity;

/// `POST /tasks`: starts a task under a lease.
///
/// The same message again is answered as the first one was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Id of the task, unique for each attempt.
    pub task: SmolStr,
    /// The job.
    pub job: JobId,
    /// Fence: a worker refuses attempts below the highest one it has seen of
    /// the job.
    pub attempt: u64,
    /// Incarnation of the worker that the task is meant for.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// Epoch of the owner that starts it.
    #[serde(default)]
    pub epoch: Option<Epoch>,
    /// Team that the task counts against.
    pub team: TeamId,
    /// Declared number of cores.
    pub cores: u32,
    /// Declared memory in megabytes.
    pub memory: u64,
    /// Declared number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// How long the task really runs at full speed.
    pub run_ms: u64,
    /// Time to live of the lease.
    pub lease_ms: u64,
    /// Progress of the checkpoint to go on from.
    #[serde(default)]
    pub resume_ms: u64,
    /// Latest wall time at which the task may start, in milliseconds since the
    /// Unix epoch; a message that was long on its way is refused.
    #[serde(default)]
    pub start_by_ms: Option<u64>,
    /// Memory in megabytes that the task really takes, if not the declared one.
    #[serde(default)]
    pub real_memory: Option<u64>,
    /// Exit status that the task ends with.
    #[serde(default)]
    pub exit: i32,
}

impl TaskSpec {
    /// Returns what the task is declared to take.
    pub fn declared(&self) -> Capacity {
        Capacity { cores: self.cores, memory: self.memory, accelerators: self.accelerators }
    }

    /// Returns what the task really takes.
    pub fn usage(&self) -> Capacity {
        Capacity { memory: self.real_memory.unwrap_or(self.memory), ..self.declared() }
    }
}

/// `POST /lease`: renews the lease of the worker and of all its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// Epoch of the owner; a lower one than seen is refused.
    pub epoch: Epoch,
    /// Time to live from now on.
    pub lease_ms: u64,
}

/// `POST /jobs/{id}/query`: asks for an attempt, which is never started later
/// if it is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// The attempt.
    pub attempt: u64,
}

/// `POST /tasks/{id}/renew`
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewRequest {
    /// Time to live from now on.
    pub lease_ms: u64,
}

/// `POST /tasks/{id}/throttle`
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ThrottleRequest {
    /// Speed from now on, in percent of the full one.
    pub percent: u32,
}
