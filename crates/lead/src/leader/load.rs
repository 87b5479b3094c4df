//! Keeps the digest of the load up to date while this host leads.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_flow::{LoadDigest, SizeClass, expected_wait};

use super::Leader;
use crate::Platform;
use crate::host::lock;
use crate::messages::LoadMessage;
use crate::wait_gauges::ExpectedWait;

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Computes the digest anew if that is due.
    pub(super) fn update_load(&self) {
        let clock = &self.host.inner.clock;
        let now = clock.now();
        let mut load = lock(&self.load);
        if !load.is_due(now) {
            return;
        }
        load.compute(&mut self.scheduler(), now, clock.wall());
        let waits = load.digest(now).map(|(digest, _)| expected_waits(&digest));
        drop(load);
        self.host.inner.metrics.waits.set(&waits.unwrap_or_default());
    }

    /// Returns the digest and its age; `None` if no pool is contended, or this host may
    /// not lead any more.
    pub(crate) fn load(&self) -> Option<(Arc<LoadDigest>, Duration)> {
        let now = self.host.inner.clock.now();
        lock(&self.load).digest(now).filter(|_| self.host.is_lease_valid())
    }

    /// Returns the digest for another host.
    pub(crate) fn load_message(&self) -> Option<LoadMessage> {
        let now = self.host.inner.clock.now();
        lock(&self.load).message(now).filter(|_| self.host.is_lease_valid())
    }
}

/// Returns the time that a large job of the lowest priority of each team waits.
fn expected_waits(digest: &LoadDigest) -> Vec<ExpectedWait> {
    let pools = digest.pools.iter();
    let teams = pools.flat_map(|pool| pool.teams.iter().map(move |team| (pool, team)));
    let waits = teams.map(|(pool, team)| ExpectedWait {
        pool: pool.pool.clone(),
        team: team.team.clone(),
        wait: expected_wait(pool, team, u32::MAX, SizeClass::Large),
    });
    waits.collect()
}
