//! What the shard asks its surroundings to do.

use std::sync::Arc;

use bytes::Bytes;
use vg_base::prelude::*;

use crate::{Attempt, Cores, Durability, JobSpec, JobState, Resources, Transition, WorkerInstance};

/// One attempt on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Task {
    /// The worker and its incarnation; another incarnation refuses.
    pub instance: WorkerInstance,
    /// Epoch of the owner; a worker refuses a lower one than it has seen.
    pub epoch: Epoch,
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// Wall time from which on no start of the attempt is valid. A worker
    /// refuses a start that comes later, whoever sent it.
    pub expires: SystemTime,
}

/// A start message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The attempt and where it runs.
    pub task: Task,
    /// What to run.
    pub spec: Arc<JobSpec>,
    /// Room that was planned for it: learned where known, else as declared.
    pub planned: Resources,
    /// Checkpoint to resume from.
    pub resume: Option<Bytes>,
}

/// Something to do, in this order. Messages to workers may be lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Answer: the job is durable.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// Answer: a cancellation is durable.
    CancelAccepted {
        /// The job.
        job: JobId,
    },
    /// Answer: the owner lost the pool before these were proved durable.
    Unconfirmed {
        /// The jobs that were not accepted yet, with what is known of them.
        jobs: Vec<(JobId, Durability)>,
    },
    /// Start an attempt. This is given once, and is to be written to a
    /// connection at most once.
    Start(Start),
    /// Ask what became of an attempt that the worker may not have seen. That it
    /// [`NeverStarted`](crate::Report::NeverStarted) may only be said where it
    /// is sure that it never will: the worker keeps a fence, or the attempt has
    /// expired.
    Query(Task),
    /// Write a checkpoint, then stop.
    Checkpoint(Task),
    /// Stop an attempt.
    Stop(Task),
    /// Limit an attempt's processor time; `None` lifts the limit.
    Throttle {
        /// The attempt.
        task: Task,
        /// The limit.
        limit: Option<Cores>,
    },
    /// The attempt's end is durable: the worker may forget how it ended. It
    /// still refuses this attempt and lower ones of the job.
    Forget(Task),
    /// A unit of the team that `may_start` took is free again.
    PermitReleased {
        /// The team.
        team: TeamId,
    },
    /// A job's state is durable and may be shown.
    StateDurable {
        /// The job.
        job: JobId,
        /// The state.
        state: JobState,
    },
    /// A job took a step, for the time line.
    Transitioned {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// The step.
        transition: Transition,
    },
    /// A worker fails unlike jobs and gets no more until `until`.
    WorkerQuarantined {
        /// The worker.
        worker: HostId,
        /// When it is probed.
        until: Instant,
    },
    /// A quarantined worker ran its probes well.
    WorkerRestored {
        /// The worker.
        worker: HostId,
    },
    /// Another owner has the pool; drop this shard.
    Fenced,
}
