//! One job as its owner sees it.

use std::sync::Arc;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::lane::{Lane, Place};
use crate::workers::WorkerKey;
use crate::{Attempt, Cores, DurableState, JobSpec, JobState, Resources, StageId};

slotmap::new_key_type! {
    /// Key of a job in its table.
    pub(crate) struct JobKey;
}

/// Where an attempt runs: one incarnation of one worker.
///
/// A worker has a new incarnation when its process starts and when its lease
/// has lapsed: it has then stopped all its tasks, and a start that was sent
/// before and comes late is refused.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{worker}/{incarnation}")]
pub struct WorkerInstance {
    /// The worker.
    pub worker: HostId,
    /// Its incarnation; another one knows nothing of the attempt.
    pub incarnation: Incarnation,
}

/// One job.
#[derive(Debug, Clone)]
pub struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) accepted: StageId,
    pub(crate) state: JobState,
    /// The last durable state; `None` until the acceptance is durable.
    pub(crate) shown: Option<JobState>,
    pub(crate) attempt: Attempt,
    pub(crate) instance: Option<WorkerInstance>,
    pub(crate) worker: Option<WorkerKey>,
    /// Whether a start of the attempt may have left for the worker.
    pub(crate) sent: bool,
    /// End of the attempt's [`Limits::start_validity`](crate::Limits::start_validity).
    pub(crate) expires: SystemTime,
    pub(crate) failures: u8,
    pub(crate) failed_on: Vec<HostId>,
    pub(crate) cancel: bool,
    /// Whether a later record of the job may be lost.
    pub(crate) doubt: bool,
    pub(crate) checkpoint: Option<Bytes>,
    /// Whether the running attempt failed to write a checkpoint.
    pub(crate) no_checkpoint: bool,
    /// Room held on the worker.
    pub(crate) held: Resources,
    /// Highest usage seen of the running attempt.
    pub(crate) peak: Resources,
    pub(crate) throttle: Option<Cores>,
    /// Time of the last step.
    pub(crate) since: Instant,
    /// Messages about the attempt that got no answer.
    pub(crate) unanswered: u32,
    /// Time of the last message about the attempt, sent or received.
    pub(crate) heard: Instant,
    pub(crate) changed: SystemTime,
}

impl Job {
    /// Returns the id.
    pub fn id(&self) -> JobId {
        self.id
    }

    /// Returns what was asked.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Returns the state that may be shown: the last durable one, or `None`
    /// while the acceptance is not durable.
    pub fn visible_state(&self) -> Option<JobState> {
        self.shown.map(|durable| if self.is_ahead(durable) { self.state } else { durable })
    }

    /// Returns the state as the owner believes it, durable or not.
    pub fn state(&self) -> JobState {
        self.state
    }

    /// Returns the last attempt given out.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the worker of the current attempt.
    pub fn instance(&self) -> Option<&WorkerInstance> {
        self.instance.as_ref()
    }

    /// A live state follows from its durable `Placed` and promises nothing.
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

    pub(crate) fn place(&self) -> Place {
        Place { start_by: self.spec.start_by, accepted: self.accepted }
    }

    pub(crate) fn durable(&self) -> DurableState {
        DurableState {
            state: self.state,
            attempt: self.attempt,
            instance: self.instance.clone(),
            failures: self.failures,
            cancel: self.cancel,
            checkpoint: self.checkpoint.clone(),
            changed: self.changed,
        }
    }
}
