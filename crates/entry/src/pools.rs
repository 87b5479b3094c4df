//! The pools that this node owns.

use std::collections::{BTreeMap, BTreeSet};
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
    retired: Vec<Retired<C>>,
    /// Pools whose takeover is under way, with the epoch of the ownership.
    claims: BTreeSet<(PoolId, Epoch)>,
}

/// A pool that was handed over, or is about to be.
#[derive(Debug)]
struct Retired<C: Clock> {
    dispatch: Arc<PoolDispatch<C>>,
    /// Whether the next owner has asked for what is known here.
    told: bool,
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

    /// Returns the number of owned pools that are dispatched here.
    pub fn len(&self) -> usize {
        self.lock().owned.len()
    }

    /// Whether no pool is dispatched here.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Begins the takeover of a pool; false if it is owned or under way.
    pub(crate) fn claim(&self, pool: &PoolId, epoch: Epoch) -> bool {
        let mut inner = self.lock();
        !inner.owned.contains_key(pool) && inner.claims.insert((pool.clone(), epoch))
    }

    /// Gives up a takeover: the pool has gone on to another owner.
    pub(crate) fn drop_claim(&self, pool: &PoolId, epoch: Epoch) {
        self.lock().claims.remove(&(pool.clone(), epoch));
    }

    /// Ends a takeover: the pool is dispatched here from now on.
    pub(crate) fn add(&self, pool: Arc<PoolDispatch<C>>, epoch: Epoch) {
        let mut inner = self.lock();
        inner.claims.remove(&(pool.pool().clone(), epoch));
        inner.owned.insert(pool.pool().clone(), pool);
    }

    /// Stops dispatch of a pool. What runs goes on.
    pub(crate) fn retire(&self, pool: &PoolId) {
        let mut inner = self.lock();
        let Some(dispatch) = inner.owned.remove(pool) else { return };
        inner.retired.retain(|each| !each.told || each.dispatch.running() > 0);
        inner.retired.push(Retired { dispatch: Arc::clone(&dispatch), told: false });
        drop(inner);
        dispatch.close();
    }

    /// Returns the handed over parts of a pool, whose calls may still run, for
    /// its next owner.
    pub(crate) fn tell_retired(&self, pool: &PoolId) -> Vec<Arc<PoolDispatch<C>>> {
        let mut inner = self.lock();
        let parts = inner.retired.iter_mut().filter(|each| each.dispatch.pool() == pool);
        parts
            .map(|each| {
                each.told = true;
                Arc::clone(&each.dispatch)
            })
            .collect()
    }

    /// Whether the next owners have asked for all that was handed over.
    pub(crate) fn is_told(&self) -> bool {
        self.lock().retired.iter().all(|each| each.told)
    }

    /// Returns the number of calls that run, those of handed over pools too.
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
