//! Slots of an endpoint, each of which executes one request at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use vg_base::prelude::*;

/// A pool with a fixed number of slots. Clones share the same slots.
#[derive(Debug, Clone)]
pub(crate) struct SlotPool {
    capacity: Slots,
    in_use: Arc<AtomicU32>,
}

impl SlotPool {
    /// Creates a pool of free slots.
    pub(crate) fn new(capacity: Slots) -> SlotPool {
        SlotPool { capacity, in_use: Arc::default() }
    }

    /// Acquires a slot, or returns `None` if all slots are in use.
    pub(crate) fn acquire(&self) -> Option<SlotGuard> {
        let next = |in_use| (in_use < self.capacity.get()).then_some(in_use + 1);
        let previous = self.in_use.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        previous.ok().map(|_| SlotGuard { in_use: Arc::clone(&self.in_use) })
    }
}

/// A slot in use. Dropping the guard frees it.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    in_use: Arc<AtomicU32>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::AcqRel);
    }
}
