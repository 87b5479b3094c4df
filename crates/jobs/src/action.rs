//! Actions that a [`Shard`](crate::Shard) asks its caller to carry out: messages to
//! workers, answers to callers, and events.

use std::sync::Arc;

use bytes::Bytes;
use vg_base::prelude::*;

use crate::{
    Attempt, Cores, Durability, JobSpec, JobState, Resources, Transition, WorkerIncarnation,
};

/// One attempt of a job on one worker, as named in every message to that worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Task {
    /// Worker and incarnation that the attempt is assigned to. Another incarnation
    /// of the worker rejects the message.
    pub instance: WorkerIncarnation,
    /// Epoch of the pool's owner. A worker rejects a message whose epoch is lower
    /// than the highest one it has seen.
    pub epoch: Epoch,
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// Wall time from which a start of the attempt is invalid. A worker rejects a
    /// start that arrives later, whoever sent it.
    pub expires: SystemTime,
}

/// A message that starts an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// The attempt and where it runs.
    pub task: Task,
    /// The submitted job.
    pub spec: Arc<JobSpec>,
    /// Resources reserved for the attempt: the learned size if there is one,
    /// otherwise the declared size.
    pub planned: Resources,
    /// Checkpoint to resume from; `None` starts the job from the beginning.
    pub resume: Option<Bytes>,
}

/// Something for the caller to do. Actions are carried out in the order in which
/// [`Shard::take_actions`](crate::Shard::take_actions) returns them. Messages to
/// workers may be lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Tells the submitter that the job is accepted, as it is durable now.
    Accepted {
        /// The job.
        job: JobId,
    },
    /// Tells the caller that the cancellation is durable.
    CancelAccepted {
        /// The job.
        job: JobId,
    },
    /// Tells the submitters that this owner lost the pool before it knew that their
    /// jobs are durable.
    Unconfirmed {
        /// The jobs that were not accepted yet, each with what is known about its
        /// durability.
        jobs: Vec<(JobId, Durability)>,
    },
    /// Starts an attempt. The shard returns this once for each attempt, and the
    /// caller must write it to a connection at most once.
    Start(Start),
    /// Asks for the state of an attempt that the worker may not have seen. The
    /// answer may be [`NeverStarted`](crate::Report::NeverStarted) only if it is
    /// certain that the attempt never starts: because the worker records that it
    /// rejects the attempt from now on, or because the attempt has expired.
    Query(Task),
    /// Asks an attempt to write a checkpoint and then stop.
    Checkpoint(Task),
    /// Stops an attempt.
    Stop(Task),
    /// Limits the processor time of an attempt; `None` removes the limit.
    Throttle {
        /// The attempt.
        task: Task,
        /// The limit.
        limit: Option<Cores>,
    },
    /// The end of the attempt is durable, so the worker may discard how it ended.
    /// The worker still rejects this attempt and lower ones of the job.
    Forget(Task),
    /// Releases a quota permit of the team: one that `may_start` took during
    /// [`Shard::place`](crate::Shard::place), or one that a recovered attempt held
    /// according to [`Shard::permits`](crate::Shard::permits).
    PermitReleased {
        /// The team.
        team: TeamId,
    },
    /// A state of a job is durable and may be shown to callers.
    StateDurable {
        /// The job.
        job: JobId,
        /// The state.
        state: JobState,
    },
    /// A job changed its state. The change is recorded in the time line.
    Transitioned {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// The state change.
        transition: Transition,
    },
    /// A worker failed jobs of different lanes in a row and gets no more jobs until
    /// `until`.
    WorkerQuarantined {
        /// The worker.
        worker: HostId,
        /// Time from which the worker may get probe jobs.
        until: Instant,
    },
    /// A quarantined worker completed its probe jobs successfully.
    WorkerRestored {
        /// The worker.
        worker: HostId,
    },
    /// Another member owns the pool. The caller must drop this shard.
    Fenced,
}
