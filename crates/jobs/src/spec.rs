//! What a submitter asks for.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use vg_base::prelude::*;

use crate::Resources;

/// Largest payload in bytes; a batch of the journal holds several jobs.
pub const PAYLOAD_MAX_BYTES: usize = 32 * 1024;

/// How a job competes with others.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Has to start soon; may take the place of background jobs.
    #[display("urgent")]
    Urgent,
    /// Moves on as room allows.
    #[display("background")]
    Background,
}

/// A job as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue.
    pub queue: QueueId,
    /// The team whose key came with it.
    pub team: TeamId,
    /// Urgent or background, as the queue says.
    pub class: Class,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Declared size; learned sizes stand in for it where known.
    pub size: Resources,
    /// Declared run time.
    pub run_time: Option<Duration>,
    /// Wall time by which it should have started. It orders waiting jobs; a
    /// job that is late still runs.
    pub start_by: Option<SystemTime>,
    /// What the worker gets, at most [`PAYLOAD_MAX_BYTES`].
    pub payload: Bytes,
}

impl JobSpec {
    /// Checks the bounds.
    ///
    /// # Errors
    ///
    /// When the payload is too large or the size is nothing.
    pub fn validate(&self) -> Result<(), SpecError> {
        let length = self.payload.len();
        ensure!(length <= PAYLOAD_MAX_BYTES, PayloadTooLargeSnafu { length });
        ensure!(self.size.cores.0 > 0, ZeroCoresSnafu);
        Ok(())
    }
}

/// Why a job can't be taken as it is.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// The payload is too large.
    #[snafu(display("a payload has at most {PAYLOAD_MAX_BYTES} bytes, this one has {length}"))]
    PayloadTooLarge {
        /// Its length in bytes.
        length: usize,
    },
    /// The job asks for no processor time.
    #[snafu(display("a job needs at least a thousandth of a core"))]
    ZeroCores,
}
