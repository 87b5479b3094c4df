//! The records of the journal.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use super::error::EncodeSnafu;
use super::frame::{self, FRAME_MAX_BYTES};
use super::{JournalError, StageId};
use crate::{Attempt, JobSpec, JobState, WorkerInstance};

/// What is durable of a job besides its specification.
///
/// `Starting`, `Running` and `Checkpointing` are never durable: the next owner
/// asks the worker, whatever an earlier one believed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The state.
    pub state: JobState,
    /// The last attempt given out.
    pub attempt: Attempt,
    /// The worker of that attempt.
    #[serde(rename = "site")]
    pub instance: Option<WorkerInstance>,
    /// Failed attempts that count against the job.
    pub failures: u8,
    /// Whether it is to be cancelled.
    pub cancel: bool,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Bytes>,
    /// Wall time of the change.
    pub changed: SystemTime,
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// A job was accepted.
    Accepted { job: JobId, spec: JobSpec, at: SystemTime },
    /// A job changed.
    Changed {
        job: JobId,
        #[serde(rename = "standing")]
        durable: DurableState,
    },
    /// A finished job is forgotten.
    Purged { job: JobId },
}

impl Record {
    /// Returns the job.
    pub(crate) fn job(&self) -> JobId {
        match self {
            Record::Accepted { job, .. } | Record::Changed { job, .. } | Record::Purged { job } => {
                *job
            }
        }
    }
}

/// A record with its position, as it stands in a segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Sealed {
    pub(crate) serial: StageId,
    pub(crate) record: Record,
}

impl Sealed {
    pub(crate) fn encode(&self) -> Result<Bytes, JournalError> {
        let body = rmp_serde::to_vec(self)
            .map_err(|error| EncodeSnafu { reason: error.to_string() }.build())?;
        if body.len() > FRAME_MAX_BYTES {
            return EncodeSnafu { reason: "it is too large" }.fail();
        }
        Ok(frame::wrap(&body))
    }

    pub(crate) fn decode(frame: &Bytes) -> Option<Sealed> {
        rmp_serde::from_slice(frame::body(frame)).ok()
    }
}
