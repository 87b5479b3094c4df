//! Specification of a submitted job.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use vg_base::prelude::*;

use crate::Resources;

/// Largest payload in bytes. It allows a batch of the journal to hold several jobs.
pub const PAYLOAD_MAX_BYTES: usize = 32 * 1024;

/// The class of a job, which determines how it competes with other jobs.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// The job has to start soon and may preempt background jobs.
    #[display("urgent")]
    Urgent,
    /// The job runs when there is enough free capacity.
    #[display("background")]
    Background,
}

/// A job as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue.
    pub queue: QueueId,
    /// The team whose key was sent with the submission.
    pub team: TeamId,
    /// Urgent or background, as configured for the queue.
    pub class: Class,
    /// Whether running the job twice does no harm.
    pub idempotent: bool,
    /// Declared size. The learned size replaces it in placement where one is known.
    pub size: Resources,
    /// Declared run time.
    pub run_time: Option<Duration>,
    /// Wall time by which the job should have started. It orders the waiting jobs;
    /// a job that is late still runs.
    pub start_by: Option<SystemTime>,
    /// Data for the worker, at most [`PAYLOAD_MAX_BYTES`].
    pub payload: Bytes,
}

impl JobSpec {
    /// Checks the limits on a job.
    ///
    /// # Errors
    ///
    /// Returns an error if the payload is too large or the size has no processor
    /// time.
    pub fn validate(&self) -> Result<(), SpecError> {
        let length = self.payload.len();
        ensure!(length <= PAYLOAD_MAX_BYTES, PayloadTooLargeSnafu { length });
        ensure!(self.size.cores.0 > 0, ZeroCoresSnafu);
        Ok(())
    }
}

/// Reason why a specification is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// The payload is too large.
    #[snafu(display("a payload has at most {PAYLOAD_MAX_BYTES} bytes, this one has {length}"))]
    PayloadTooLarge {
        /// Length of the payload in bytes.
        length: usize,
    },
    /// The job asks for no processor time.
    #[snafu(display("a job needs at least a thousandth of a core"))]
    ZeroCores,
}
