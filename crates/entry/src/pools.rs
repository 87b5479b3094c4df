//! The pools that this node dispatches.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use vg_base::prelude::*;

use crate::dispatch::PoolDispatch;

/// Owned pools, and handed-over pools whose last calls are still running.
///
/// Lock order: this table must not be locked while the table of a pool is locked.
#[derive(Debug)]
pub struct PoolTable<C: Clock> {
    inner: Mutex<Inner<C>>,
}

#[derive(Debug)]
struct Inner<C: Clock> {
    owned: BTreeMap<PoolId, Arc<PoolDispatch<C>>>,
    retired: Vec<Retired<C>>,
    /// Pools whose takeover is in progress, with the epoch of the ownership.
    claims: BTreeSet<(PoolId, Epoch)>,
}

/// A pool that was handed over or is about to be.
#[derive(Debug)]
struct Retired<C: Clock> {
    dispatch: Arc<PoolDispatch<C>>,
    /// Whether the next owner has requested what is known here.
    exported: bool,
}

impl<C: Clock> Default for PoolTable<C> {
    fn default() -> PoolTable<C> {
        let inner = Inner { owned: BTreeMap::new(), retired: Vec::new(), claims: BTreeSet::new() };
        PoolTable { inner: Mutex::new(inner) }
    }
}

impl<C: Clock> PoolTable<C> {
    /// Returns an owned pool.
    pub(crate) fn get(&self, pool: &PoolId) -> Option<Arc<PoolDispatch<C>>> {
        self.lock().owned.get(pool).cloned()
    }

    /// Returns all owned pools.
    pub(crate) fn all(&self) -> Vec<Arc<PoolDispatch<C>>> {
        self.lock().owned.values().cloned().collect()
    }

    /// Returns the names of the owned pools.
    pub(crate) fn names(&self) -> Vec<PoolId> {
        self.lock().owned.keys().cloned().collect()
    }

    /// Returns the number of owned pools.
    pub fn len(&self) -> usize {
        self.lock().owned.len()
    }

    /// Returns whether this node dispatches no pool.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Begins the takeover of a pool. Returns false if the pool is already owned or its
    /// takeover is in progress.
    pub(crate) fn claim(&self, pool: &PoolId, epoch: Epoch) -> bool {
        let mut inner = self.lock();
        !inner.owned.contains_key(pool) && inner.claims.insert((pool.clone(), epoch))
    }

    /// Cancels a takeover because the pool was assigned to another owner.
    pub(crate) fn cancel_claim(&self, pool: &PoolId, epoch: Epoch) {
        self.lock().claims.remove(&(pool.clone(), epoch));
    }

    /// Completes a takeover. The pool is dispatched here from now on.
    pub(crate) fn add(&self, pool: Arc<PoolDispatch<C>>, epoch: Epoch) {
        let mut inner = self.lock();
        inner.claims.remove(&(pool.pool().clone(), epoch));
        inner.owned.insert(pool.pool().clone(), pool);
    }

    /// Stops the dispatch of a pool. Running calls continue. Earlier retired dispatches that
    /// are exported and have no running calls are discarded.
    pub(crate) fn retire(&self, pool: &PoolId) {
        let mut inner = self.lock();
        let Some(dispatch) = inner.owned.remove(pool) else { return };
        inner.retired.retain(|each| !each.exported || each.dispatch.running() > 0);
        inner.retired.push(Retired { dispatch: Arc::clone(&dispatch), exported: false });
        drop(inner);
        dispatch.close();
    }

    /// Returns the retired dispatches of a pool, whose calls may still be running, and
    /// marks them as exported to the next owner.
    pub(crate) fn export_retired(&self, pool: &PoolId) -> Vec<Arc<PoolDispatch<C>>> {
        let mut inner = self.lock();
        let parts = inner.retired.iter_mut().filter(|each| each.dispatch.pool() == pool);
        parts
            .map(|each| {
                each.exported = true;
                Arc::clone(&each.dispatch)
            })
            .collect()
    }

    /// Returns whether the next owners have requested the state of all handed-over pools.
    pub(crate) fn is_exported(&self) -> bool {
        self.lock().retired.iter().all(|each| each.exported)
    }

    /// Returns the number of running calls, including those of handed-over pools.
    pub(crate) fn running(&self) -> usize {
        let inner = self.lock();
        let retired = inner.retired.iter().map(|each| &each.dispatch);
        let pools: Vec<_> = inner.owned.values().chain(retired).cloned().collect();
        drop(inner);
        pools.iter().map(|each| each.running()).sum()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<C>> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
