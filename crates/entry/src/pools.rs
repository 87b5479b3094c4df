//! The pools that this node owns.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use vg_base::prelude::*;

use crate::dispatch::PoolDispatch;

/// Owned pools, and handed over ones whose last calls still run.
///
/// Lock order: this table is never locked while a pool's own table is.
#[derive(Debug)]
pub struct PoolTable<C: Clock> {
    inner: Mutex<Inner<C>>,
}

#[derive(Debug)]
struct Inner<C: Clock> {
    owned: BTreeMap<PoolId, Arc<PoolDispatch<C>>>,
    retired: Vec<Arc<PoolDispatch<C>>>,
}

impl<C: Clock> Default for PoolTable<C> {
    fn default() -> PoolTable<C> {
        let inner = Inner { owned: BTreeMap::new(), retired: Vec::new() };
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

    /// Returns the number of owned pools that are dispatched here.
    pub fn len(&self) -> usize {
        self.lock().owned.len()
    }

    /// Whether no pool is dispatched here.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a pool that this node has come to own.
    pub(crate) fn add(&self, pool: Arc<PoolDispatch<C>>) {
        self.lock().owned.insert(pool.pool().clone(), pool);
    }

    /// Stops dispatch of a pool. What runs goes on.
    pub(crate) fn retire(&self, pool: &PoolId) {
        let mut inner = self.lock();
        let Some(dispatch) = inner.owned.remove(pool) else { return };
        inner.retired.retain(|each| each.running() > 0);
        inner.retired.push(Arc::clone(&dispatch));
        drop(inner);
        dispatch.close();
    }

    /// Returns the handed over parts of a pool whose calls may still run.
    pub(crate) fn retired(&self, pool: &PoolId) -> Vec<Arc<PoolDispatch<C>>> {
        let inner = self.lock();
        inner.retired.iter().filter(|each| each.pool() == pool).cloned().collect()
    }

    /// Returns the number of calls that run, those of handed over pools too.
    pub(crate) fn running(&self) -> usize {
        let inner = self.lock();
        let pools: Vec<_> = inner.owned.values().chain(&inner.retired).cloned().collect();
        drop(inner);
        pools.iter().map(|each| each.running()).sum()
    }

    fn lock(&self) -> MutexGuard<'_, Inner<C>> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
