//! A call as it is passed from the caller to an endpoint.

use bytes::Bytes;
use http::HeaderValue;
use vg_base::prelude::*;
use vg_conf::{Class, KeyDigest};

/// An admitted call. Its key, queue, body and deadline have been checked.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request.
    pub id: RequestId,
    /// The queue.
    pub queue: QueueId,
    /// The pool that serves the queue.
    pub pool: PoolId,
    /// The team whose permits and limits the call counts against.
    pub team: TeamId,
    /// Urgent or background.
    pub class: Class,
    /// Time by which the answer must have arrived, on this process's monotonic clock.
    pub deadline: Instant,
    /// Whether the work may safely run more than once.
    pub idempotent: bool,
    /// Digest of the caller's key, which is checked again before the call starts.
    pub digest: Option<KeyDigest>,
    /// The caller's idempotency key.
    pub key: Option<SmolStr>,
    /// Content type of the body, passed on unchanged.
    pub content_type: Option<HeaderValue>,
    /// The entry host that forwarded the call, or `None` if the caller sent it to this
    /// host.
    pub via: Option<NodeId>,
    /// The complete body.
    pub body: Bytes,
}

impl Call {
    /// Returns the time left until the deadline, or zero if it has passed.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
