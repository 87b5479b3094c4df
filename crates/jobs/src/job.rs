//! A job as the owner of its pool keeps it in memory.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::lane::{Lane, LanePosition};
use crate::workers::WorkerKey;
use crate::{Attempt, Cores, DurableState, JobSpec, JobState, Resources, StageId};

slotmap::new_key_type! {
    /// Key of a job in the job table of its shard.
    pub(crate) struct JobKey;
}

/// One incarnation of one worker, which is where an attempt runs.
///
/// A worker has a new incarnation when its process starts and when its lease has
/// expired. It has then stopped all its tasks, and it rejects a start that was sent
/// to an earlier incarnation and arrives late.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{worker}/{incarnation}")]
pub struct WorkerIncarnation {
    /// The worker.
    pub worker: HostId,
    /// Incarnation of the worker. Another incarnation knows nothing of the attempt.
    pub incarnation: Incarnation,
}

/// A job of the pool.
#[derive(Debug, Clone)]
pub struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    /// Position of the acceptance in the journal.
    pub(crate) accepted: StageId,
    pub(crate) state: JobState,
    /// The last durable state, or `None` until the acceptance is durable.
    pub(crate) last_durable: Option<JobState>,
    /// Number of the last attempt.
    pub(crate) attempt: Attempt,
    /// Worker incarnation of the last attempt.
    pub(crate) instance: Option<WorkerIncarnation>,
    /// Worker that a live attempt is assigned to.
    pub(crate) worker: Option<WorkerKey>,
    /// Whether a start of the current attempt may have been sent to the worker.
    pub(crate) start_sent: bool,
    /// End of the [`Limits::start_validity`](crate::Limits::start_validity) of the
    /// attempt, as wall time.
    pub(crate) expires: SystemTime,
    /// Number of failed attempts that count against the job.
    pub(crate) failures: u8,
    /// Workers on which an attempt failed or found insufficient capacity.
    pub(crate) failed_on: Vec<HostId>,
    pub(crate) cancel_requested: bool,
    /// Whether a later record of the job may be lost from the journal.
    pub(crate) unresolved: bool,
    pub(crate) checkpoint: Option<Bytes>,
    /// Whether the running attempt failed to write a checkpoint.
    pub(crate) no_checkpoint: bool,
    /// Resources reserved on the worker.
    pub(crate) reserved: Resources,
    /// Highest measured usage of the running attempt.
    pub(crate) peak_usage: Resources,
    /// Limit on the processor time of the running attempt, if there is one.
    pub(crate) throttle: Option<Cores>,
    /// Time of the last state change.
    pub(crate) state_since: Instant,
    /// Number of messages about the attempt since the worker last reported on it.
    pub(crate) unanswered: u32,
    /// Time of the last message about the attempt, sent or received.
    pub(crate) last_message: Instant,
    /// Wall time of the last state change.
    pub(crate) changed: SystemTime,
}

impl Job {
    /// Returns the id.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// Returns the specification of the job.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Returns the state that may be shown to callers: the last durable one, or
    /// `None` while the acceptance is not durable. A live job whose `Placed` is
    /// durable is shown with its current state.
    pub fn visible_state(&self) -> Option<JobState> {
        self.last_durable.map(|durable| if self.is_ahead(durable) { self.state } else { durable })
    }

    /// Returns the current state in memory, durable or not.
    pub fn state(&self) -> JobState {
        self.state
    }

    /// Returns the number of the last attempt, or [`Attempt::NONE`].
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the worker incarnation of the last attempt.
    pub fn instance(&self) -> Option<&WorkerIncarnation> {
        self.instance.as_ref()
    }

    /// Whether the state in memory may be shown before it is durable. A live state
    /// follows from its durable `Placed` and promises nothing to the caller.
    fn is_ahead(&self, durable: JobState) -> bool {
        durable == JobState::Placed && self.state.is_live()
    }

    pub(crate) fn lane(&self) -> Lane {
        Lane {
            class: self.spec.class,
            queue: self.spec.queue.clone(),
            team: self.spec.team.clone(),
        }
    }

    pub(crate) fn position(&self) -> LanePosition {
        LanePosition { start_by: self.spec.start_by, accepted: self.accepted }
    }

    pub(crate) fn to_durable(&self) -> DurableState {
        DurableState {
            state: self.state,
            attempt: self.attempt,
            instance: self.instance.clone(),
            failures: self.failures,
            cancel: self.cancel_requested,
            checkpoint: self.checkpoint.clone(),
            changed: self.changed,
        }
    }
}
