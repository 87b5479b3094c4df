//! Slots of an endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use vg_base::prelude::*;

/// A fixed number of slots.
#[derive(Debug, Clone)]
pub(crate) struct SlotPool {
    most: Slots,
    taken: Arc<AtomicU32>,
}

impl SlotPool {
    /// Makes a pool of free slots.
    pub(crate) fn new(most: Slots) -> SlotPool {
        SlotPool { most, taken: Arc::default() }
    }

    /// Takes a slot, if one is free.
    pub(crate) fn take(&self) -> Option<SlotGuard> {
        let next = |taken| (taken < self.most.get()).then_some(taken + 1);
        let taken = self.taken.fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        taken.ok().map(|_| SlotGuard { taken: Arc::clone(&self.taken) })
    }
}

/// A slot that is taken until this is dropped.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    taken: Arc<AtomicU32>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.taken.fetch_sub(1, Ordering::AcqRel);
    }
}
