//! A call on its way from the caller to an endpoint.

use bytes::Bytes;
use http::HeaderValue;
use vg_base::prelude::*;
use vg_conf::{Class, KeyDigest};

/// A call that was admitted: its key, queue, body and deadline are checked.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the request.
    pub id: RequestId,
    /// The queue.
    pub queue: QueueId,
    /// The pool that serves the queue.
    pub pool: PoolId,
    /// The team that the work counts against.
    pub team: TeamId,
    /// Urgent or background.
    pub class: Class,
    /// When the answer must have come, on this process's monotonic clock.
    pub deadline: Instant,
    /// Whether the work may run more than once without harm.
    pub idempotent: bool,
    /// Digest of the key that came with it; checked again before it starts.
    pub digest: Option<KeyDigest>,
    /// The caller's idempotency key.
    pub key: Option<SmolStr>,
    /// Content type of the body, handed through.
    pub content_type: Option<HeaderValue>,
    /// The entry host that forwarded it; none if the caller came here.
    pub via: Option<NodeId>,
    /// The whole body.
    pub body: Bytes,
}

impl Call {
    /// Returns the time left.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
