//! The jobs of all pools of this node.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use vg_base::prelude::*;

use crate::jobs::PoolJobs;

/// The jobs of owned pools, and of handed-over pools whose permits are not handed over
/// yet. No other lock is held while this table is locked.
#[derive(Debug)]
pub struct JobTable<C: Clock> {
    pools: Mutex<Pools<C>>,
}

#[derive(Debug)]
struct Pools<C: Clock> {
    owned: BTreeMap<PoolId, Arc<PoolJobs<C>>>,
    retired: Vec<Arc<PoolJobs<C>>>,
}

impl<C: Clock> Default for JobTable<C> {
    fn default() -> JobTable<C> {
        JobTable { pools: Mutex::new(Pools { owned: BTreeMap::new(), retired: Vec::new() }) }
    }
}

impl<C: Clock> JobTable<C> {
    /// Returns the jobs of an owned pool.
    pub(crate) fn get(&self, pool: &PoolId) -> Option<Arc<PoolJobs<C>>> {
        self.lock().owned.get(pool).cloned()
    }

    /// Returns the jobs of all owned pools.
    pub(crate) fn all(&self) -> Vec<Arc<PoolJobs<C>>> {
        self.lock().owned.values().cloned().collect()
    }

    /// Adds the jobs of a pool that this node now owns.
    pub(crate) fn add(&self, jobs: Arc<PoolJobs<C>>) {
        self.lock().owned.insert(jobs.pool().clone(), jobs);
    }

    /// Stops managing a pool's jobs and keeps them for the handover of their permits.
    pub(crate) fn retire(&self, pool: &PoolId) {
        let mut pools = self.lock();
        let Some(jobs) = pools.owned.remove(pool) else { return };
        pools.retired.push(Arc::clone(&jobs));
        drop(pools);
        jobs.close();
    }

    /// Removes and returns the jobs of a pool that is being handed over.
    pub(crate) fn take_retired(&self, pool: &PoolId) -> Vec<Arc<PoolJobs<C>>> {
        self.lock().retired.extract_if(.., |each| each.pool() == pool).collect()
    }

    /// Returns whether jobs of handed-over pools still hold permits here.
    pub(crate) fn holds_permits(&self) -> bool {
        let retired = self.lock().retired.clone();
        retired.iter().any(|jobs| jobs.lock().permits.values().any(|guards| !guards.is_empty()))
    }

    fn lock(&self) -> MutexGuard<'_, Pools<C>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
