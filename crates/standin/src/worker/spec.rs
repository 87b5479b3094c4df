//! Bodies of the requests to a worker.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::worker::Capacity;

/// Body of `POST /tasks`, which starts a task under a lease.
///
/// A repeated request is answered with the task's current status and starts nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSpec {
    /// Id of the task, unique for each attempt.
    pub task: SmolStr,
    /// Id of the job.
    pub job: JobId,
    /// Number of the attempt, which acts as a fencing token: a worker refuses an attempt
    /// that is not above the highest one of the job that it has seen.
    pub attempt: u64,
    /// Incarnation of the worker that the request is addressed to; by default any.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
    /// Epoch of the owner that starts the task; a lower epoch than the highest one seen
    /// is refused.
    #[serde(default)]
    pub epoch: Option<Epoch>,
    /// Team whose limit the task counts towards.
    pub team: TeamId,
    /// Declared number of cores.
    pub cores: u32,
    /// Declared memory in megabytes.
    pub memory: u64,
    /// Declared number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Actual run time of the task at full speed, in milliseconds.
    pub run_ms: u64,
    /// Time to live of the task's lease, in milliseconds.
    pub lease_ms: u64,
    /// Progress of the checkpoint that the task resumes from, in milliseconds at full
    /// speed.
    #[serde(default)]
    pub resume_ms: u64,
    /// Latest wall-clock time at which the task may start, in milliseconds since the
    /// Unix epoch. A request that was delayed beyond it is refused.
    #[serde(default)]
    pub start_by_ms: Option<u64>,
    /// Memory in megabytes that the task actually uses; by default the declared
    /// amount.
    #[serde(default)]
    pub real_memory: Option<u64>,
    /// Exit status of the task when it finishes.
    #[serde(default)]
    pub exit: i32,
}

impl TaskSpec {
    /// Returns the declared resources, which the worker reserves.
    pub fn declared(&self) -> Capacity {
        Capacity { cores: self.cores, memory: self.memory, accelerators: self.accelerators }
    }

    /// Returns the resources that the task actually uses.
    pub fn usage(&self) -> Capacity {
        Capacity { memory: self.real_memory.unwrap_or(self.memory), ..self.declared() }
    }
}

/// Body of `POST /lease`, which renews the leases of the worker and of all its running
/// tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// Epoch of the owner. A lower epoch than the highest one seen is refused.
    pub epoch: Epoch,
    /// Time to live from now on, in milliseconds.
    pub lease_ms: u64,
}

/// Body of `POST /jobs/{id}/query`, which asks for the status of an attempt. If the
/// attempt is unknown, the worker refuses to start it later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// Number of the attempt.
    pub attempt: u64,
    /// Incarnation of the worker that the attempt was assigned to; by default any.
    #[serde(default)]
    pub incarnation: Option<Incarnation>,
}

/// Body of `POST /tasks/{id}/renew`, which renews the lease of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RenewRequest {
    /// Time to live from now on, in milliseconds.
    pub lease_ms: u64,
}

/// Body of `POST /tasks/{id}/throttle`, which sets the speed of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ThrottleRequest {
    /// Speed from now on, in percent of full speed.
    pub percent: u32,
}
