//! A request that asks to run under its key.

use vg_base::prelude::*;

use super::{Fingerprint, ReceiptName};

/// A request that asks to run under its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRequest {
    /// Team, queue and key.
    pub name: ReceiptName,
    /// The pool that serves the queue.
    pub pool: PoolId,
    /// This attempt, as the entry host received it.
    pub attempt: RequestId,
    /// When its answer must have ended. It never runs later.
    pub deadline: Instant,
    /// Digest of what is asked.
    pub fingerprint: Fingerprint,
    /// Whether the work may run more than once without harm.
    pub idempotent: bool,
}
