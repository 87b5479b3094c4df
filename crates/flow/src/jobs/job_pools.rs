//! The pools in which tasks of a job may run.
//!
//! Operators send queues to other pools while jobs wait and run. A later leader has to know
//! each pool in which a task may have been started, and the configuration tells only the
//! last one. So a job has its pools in its own records, and starts in another one no earlier
//! than its record names that one.

use vg_base::prelude::*;

/// The pools of a job.
#[derive(Debug, Clone)]
pub(crate) struct JobPools {
    /// Where its tasks start.
    current: PoolId,
    /// Where its tasks may have started before.
    earlier: Vec<PoolId>,
    /// Where its tasks are to start as soon as that is durable.
    next: Option<PoolId>,
}

impl JobPools {
    pub(crate) fn new(current: PoolId) -> JobPools {
        JobPools { current, earlier: Vec::new(), next: None }
    }

    /// Returns the pool in which its tasks start.
    pub(crate) fn current(&self) -> &PoolId {
        &self.current
    }

    /// Returns the pools in which its tasks may run.
    pub(crate) fn occupied(&self) -> impl Iterator<Item = &PoolId> {
        std::iter::once(&self.current).chain(&self.earlier)
    }

    /// Whether it is not only in the pool in which it was accepted.
    pub(crate) fn has_moved(&self) -> bool {
        !self.earlier.is_empty() || self.next.is_some()
    }

    /// Sets the pool in which its tasks are to start. Returns whether a record is needed
    /// first.
    pub(crate) fn retarget(&mut self, pool: &PoolId) -> bool {
        let next = (self.current != *pool).then_some(pool);
        if self.next.as_ref() == next {
            return false;
        }
        self.next = next.cloned();
        self.next.is_some()
    }

    /// Returns the pools to record; the last one is where its tasks are to start.
    pub(crate) fn record(&self) -> Vec<PoolId> {
        let earlier = self.earlier.iter().chain([&self.current]).chain(&self.next);
        earlier.cloned().collect()
    }

    /// Moves to the next pool if that is the last one of a record that is durable.
    pub(crate) fn recorded(&mut self, pools: &[PoolId]) {
        if self.next.as_ref() == pools.last()
            && let Some(next) = self.next.take()
        {
            let before = std::mem::replace(&mut self.current, next);
            self.earlier.push(before);
            self.earlier.retain(|pool| *pool != self.current);
        }
    }

    /// Restores the pools that an earlier leader has recorded, if there are any.
    pub(crate) fn restore(&mut self, pools: &[PoolId]) {
        let Some((current, earlier)) = pools.split_last() else { return };
        self.current = current.clone();
        self.earlier = earlier.iter().filter(|pool| *pool != current).cloned().collect();
        self.next = None;
    }
}
