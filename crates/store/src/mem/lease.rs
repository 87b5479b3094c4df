//! A granted lease of the in-memory store.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::Key;

/// A lease with the keys that are attached to it.
#[derive(Debug)]
pub(crate) struct Lease {
    /// Time to live after each renewal.
    pub(crate) ttl: Duration,
    /// When the lease expires unless it is renewed.
    pub(crate) expires_at: Instant,
    /// Keys that are deleted when the lease ends.
    pub(crate) keys: BTreeSet<Key>,
}

impl Lease {
    /// Creates a lease without keys.
    pub(crate) fn new(ttl: Duration, now: Instant) -> Lease {
        Lease { ttl, expires_at: now + ttl, keys: BTreeSet::new() }
    }
}
