//! Messages between hosts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_flow::{JobOutcome, JobSpec};

/// A job that is durable: the leader need not wait to see it in the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Handed {
    pub(crate) job: JobId,
    pub(crate) revision: u64,
    pub(crate) spec: Arc<JobSpec>,
}

/// A cancellation that is durable.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Cancelled {
    pub(crate) job: JobId,
}

/// Asks a host that reaches the store to write a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Relay {
    pub(crate) job: JobId,
    pub(crate) spec: Arc<JobSpec>,
}

/// What became of a job that was to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Written {
    /// It is durable.
    Durable,
    /// It is not and will not be.
    Rejected,
    /// It may be, or may still come to be.
    Unknown,
}

/// Asks for the state of a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Query {
    pub(crate) job: JobId,
}

/// State of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Known {
    /// Accepted; no task has started.
    Queued(Option<TeamId>),
    /// A task has started.
    Running(Option<TeamId>),
    /// It has ended.
    Ended(Option<TeamId>, JobOutcome),
    /// There is no such job.
    Absent,
    /// This host can't tell.
    Unknown,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CancelDone {
    /// The wish is durable.
    Durable,
    /// There is no such job, or it has ended otherwise.
    Absent,
    /// The store does not answer.
    Unknown,
}

/// Whether the asked host may have written a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct UnsettledAnswer {
    pub(crate) unsettled: bool,
}

/// Asks for the number of a queue's jobs that have not begun.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CountQuery {
    pub(crate) queue: QueueId,
}

/// Number of jobs that have not begun; none if the asked host does not lead.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CountAnswer {
    pub(crate) pending: Option<usize>,
}

/// Asks for the operators' items that a host has read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ContentQuery {
    /// Version that the asking host has.
    pub(crate) version: u64,
}

/// The operators' configuration as it lies in the store, if it is newer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ContentAnswer {
    pub(crate) key: SmolStr,
    pub(crate) value: Option<bytes::Bytes>,
}

/// Asks when the store last answered a host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StoreQuery {}

/// Time since the store last answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StoreAnswer {
    pub(crate) silent_for: Duration,
}

/// Nothing to say but that it was taken.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Taken {}
