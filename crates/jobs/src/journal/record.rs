//! The records of the journal.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use super::error::EncodeSnafu;
use super::frame::{self, FRAME_MAX_BYTES};
use super::{JournalError, StageId};
use crate::{Attempt, JobSpec, JobState, WorkerIncarnation};

/// The durable part of a job besides its specification.
///
/// No record is written when a job becomes `Starting`, `Running` or
/// `Checkpointing`: the next owner queries the worker, whatever an earlier owner
/// believed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// The state.
    pub state: JobState,
    /// Number of the last attempt.
    pub attempt: Attempt,
    /// Worker incarnation of that attempt.
    #[serde(rename = "site")]
    pub instance: Option<WorkerIncarnation>,
    /// Number of failed attempts that count against the job.
    pub failures: u8,
    /// Whether cancellation of the job was requested.
    pub cancel: bool,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Bytes>,
    /// Wall time of the change.
    pub changed: SystemTime,
}

/// A record of the journal.
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
    /// A finished job was purged. The record is its tombstone.
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

/// A record with its position in the journal, as stored in a segment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LogEntry {
    pub(crate) serial: StageId,
    pub(crate) record: Record,
}

impl LogEntry {
    pub(crate) fn encode(&self) -> Result<Bytes, JournalError> {
        let body = rmp_serde::to_vec(self)
            .map_err(|error| EncodeSnafu { reason: error.to_string() }.build())?;
        if body.len() > FRAME_MAX_BYTES {
            return EncodeSnafu { reason: "the record is too large" }.fail();
        }
        Ok(frame::wrap(&body))
    }

    pub(crate) fn decode(frame: &Bytes) -> Option<LogEntry> {
        rmp_serde::from_slice(frame::body(frame)).ok()
    }
}
