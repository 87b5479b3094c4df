//! Messages between hosts, encoded as MessagePack.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_flow::{FencingToken, JobOutcome, JobSpec};

/// Tells the leader of a job that has become durable, so that it need not wait
/// for the watch to show it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DurableJob {
    pub(crate) job: JobId,
    pub(crate) revision: u64,
    pub(crate) spec: Arc<JobSpec>,
    /// Whether the sender has a recent digest of the load and wants none.
    #[serde(default, skip_serializing_if = "is_false")]
    pub(crate) has_load: bool,
}

/// Whether a field is left out of a message or a record.
pub(crate) fn is_false(value: &bool) -> bool {
    !value
}

/// Tells the leader of a cancellation that has become durable.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DurableCancel {
    pub(crate) job: JobId,
}

/// Asks a peer to write a job, because this host may not reach the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RelayRequest {
    pub(crate) job: JobId,
    pub(crate) spec: Arc<JobSpec>,
}

/// The outcome of writing a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum WriteOutcome {
    /// The job is durable.
    Durable,
    /// The job is not durable and never will be.
    Rejected,
    /// The job may be durable, or may still become durable.
    Unknown,
}

/// Names the job of a request; the path of the request says what is asked.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct JobQuery {
    pub(crate) job: JobId,
}

/// The state of a job, with the job's team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StatusReply {
    /// Accepted; no task has started.
    Queued(Option<TeamId>),
    /// At least one task has started.
    Running(Option<TeamId>),
    /// Finished with this outcome.
    #[serde(rename = "Ended")]
    Finished(Option<TeamId>, JobOutcome),
    /// No such job exists.
    Absent,
    /// This host does not know the state.
    Unknown,
}

/// The outcome of writing a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CancelWriteOutcome {
    /// The cancellation is durable.
    Durable,
    /// No such job exists, or it has finished with another outcome.
    Absent,
    /// The store does not answer.
    Unknown,
}

/// Whether the answering host may have written the job, or knows that it is durable.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct UnresolvedAnswer {
    #[serde(rename = "unsettled")]
    pub(crate) unresolved: bool,
}

/// Asks for the number of a queue's jobs of which no task has started.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CountQuery {
    pub(crate) queue: QueueId,
}

/// The number of jobs of which no task has started; `None` if the answering
/// host does not lead or has not completed recovery.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CountAnswer {
    pub(crate) pending: Option<usize>,
}

/// Asks for the operators' configuration that a peer has read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ConfigQuery {
    /// Version of the configuration that the asking host has.
    pub(crate) version: u64,
}

/// Key and value of the operators' configuration as stored; no value if it is
/// not newer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ConfigAnswer {
    pub(crate) key: SmolStr,
    pub(crate) value: Option<bytes::Bytes>,
    /// The zones that are drained, if the answering host reaches the store.
    #[serde(default)]
    pub(crate) drains: Option<DrainAnswer>,
}

/// The zones that are drained as of a revision of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DrainAnswer {
    pub(crate) revision: i64,
    pub(crate) zones: BTreeSet<ZoneId>,
}

/// Asks when the store last answered a peer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct StoreQuery {
    /// Number of the asking leader's process; `None` from an earlier version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) leader: Option<u64>,
}

/// The time since the store last answered the answering host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StoreAnswer {
    pub(crate) silent_for: Duration,
}

/// Acknowledges a message that needs no other answer.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Ack {
    /// For how long the leader asks hosts to refuse new jobs, because it can not
    /// start them in time.
    #[serde(default)]
    pub(crate) refuse_for: Option<Duration>,
    /// Load of the contended pools; `None` if there are none or the receiver has a
    /// recent digest.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) load: Option<LoadMessage>,
}

/// The leader's digest of the load of contended pools.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LoadMessage {
    /// Fencing token of the leader.
    pub(crate) token: FencingToken,
    /// Age of the digest when it was sent.
    pub(crate) age: Duration,
    /// The encoded [`LoadDigest`](vg_flow::LoadDigest); `None` if the receiver is to keep
    /// the one that it has.
    pub(crate) digest: Option<bytes::Bytes>,
}

/// Asks the leader for the load of contended pools.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LoadQuery {}

/// The load of contended pools; `None` if there are none.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LoadAnswer {
    #[serde(default)]
    pub(crate) load: Option<LoadMessage>,
}
