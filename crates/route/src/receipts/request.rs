//! Requests that run at most once under their keys.

use vg_base::prelude::*;

use super::{Fingerprint, ReceiptName};

/// A request that runs at most once under its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// Team, queue and key of the request.
    pub name: ReceiptName,
    /// The pool that serves the queue.
    pub pool: PoolId,
    /// Identifies this attempt, one arrival of the request at an entry host.
    pub attempt: RequestId,
    /// Time by which the answer must have ended. The request does not start later.
    pub deadline: Instant,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
}
