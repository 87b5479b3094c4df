//! The zones that operators have asked to drain, as this host knows them.
//!
//! The store holds one key for each request. A host learns of them from listings, from a
//! watch and from peers, which may arrive in any order: each has the revision of the
//! store that it shows, and an older one does not replace a newer one.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;
use vg_store::{Listing, StoreRevision};

use crate::messages::DrainAnswer;
use crate::{Host, OperatorItem, Platform};

/// The drained zones as of a revision of the store.
#[derive(Debug, Clone, Default)]
pub(crate) struct DrainedZones {
    revision: StoreRevision,
    /// The zones, and when this host first read the request.
    zones: BTreeMap<ZoneId, Instant>,
}

/// A change of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DrainChange {
    Requested(ZoneId),
    Withdrawn(ZoneId),
}

impl DrainedZones {
    /// Returns the zones.
    pub(crate) fn zones(&self) -> BTreeSet<ZoneId> {
        self.zones.keys().cloned().collect()
    }

    /// Returns the zones, and when this host first read the request for each.
    pub(crate) fn requests(&self) -> &BTreeMap<ZoneId, Instant> {
        &self.zones
    }

    /// Replaces the zones by those of a listing. Returns whether they have changed.
    fn replace(&mut self, zones: BTreeSet<ZoneId>, revision: StoreRevision, now: Instant) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        if self.zones.keys().eq(&zones) {
            return false;
        }
        let known = std::mem::take(&mut self.zones);
        let first_read = |zone: &ZoneId| known.get(zone).copied().unwrap_or(now);
        self.zones = zones.into_iter().map(|zone| (zone.clone(), first_read(&zone))).collect();
        true
    }

    /// Applies the changes up to a revision. Returns whether the zones have changed.
    fn change(&mut self, changes: &[DrainChange], revision: StoreRevision, now: Instant) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        let mut changed = false;
        for change in changes {
            changed |= match change {
                DrainChange::Requested(zone) if !self.zones.contains_key(zone) => {
                    self.zones.insert(zone.clone(), now);
                    true
                }
                DrainChange::Requested(_) => false,
                DrainChange::Withdrawn(zone) => self.zones.remove(zone).is_some(),
            };
        }
        changed
    }
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Returns the zones that operators have asked to drain, as far as this host knows.
    pub fn drained_zones(&self) -> BTreeSet<ZoneId> {
        self.inner.drained_zones.borrow().zones()
    }

    /// Replaces the drained zones by those that the store had at a revision.
    pub(crate) fn replace_drains(&self, zones: BTreeSet<ZoneId>, revision: StoreRevision) {
        let now = self.inner.clock.now();
        self.inner.drained_zones.send_if_modified(|known| known.replace(zones, revision, now));
    }

    /// Applies changes of requests up to a revision.
    pub(crate) fn change_drains(&self, changes: &[DrainChange], revision: StoreRevision) {
        let now = self.inner.clock.now();
        self.inner.drained_zones.send_if_modified(|known| known.change(changes, revision, now));
    }

    /// Replaces the drained zones by a listing of the prefix of the requests. Malformed
    /// ones are recorded where all items of operators are read.
    pub(crate) fn apply_drain_listing(&self, listing: &Listing) {
        let mut zones = BTreeSet::new();
        for entry in &listing.entries {
            match self.inner.platform.parse_operator_item(&entry.key, &entry.value) {
                Ok(OperatorItem::ZoneDrain(zone)) => _ = zones.insert(zone),
                Ok(_) => {}
                Err(error) => {
                    log::debug!(target: "store", "`{}` is malformed: {error}", entry.key);
                }
            }
        }
        self.replace_drains(zones, listing.revision);
    }

    /// Returns the drained zones for a peer; `None` if this host does not reach the
    /// store either.
    pub(crate) fn drain_answer(&self) -> Option<DrainAnswer> {
        if !self.is_store_reachable() {
            return None;
        }
        let known = self.inner.drained_zones.borrow();
        Some(DrainAnswer { revision: known.revision.0, zones: known.zones() })
    }
}
