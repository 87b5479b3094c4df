//! A granted lease.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::Key;

/// A lease with the keys that it holds.
#[derive(Debug)]
pub(crate) struct Lease {
    /// Time to live after each renewal.
    pub(crate) ttl: Duration,
    /// When the lease lapses unless it is renewed.
    pub(crate) lapses: Instant,
    /// Keys that vanish with the lease.
    pub(crate) keys: BTreeSet<Key>,
}

impl Lease {
    /// Makes a lease that holds nothing yet.
    pub(crate) fn new(ttl: Duration, now: Instant) -> Lease {
        Lease { ttl, lapses: now + ttl, keys: BTreeSet::new() }
    }
}
