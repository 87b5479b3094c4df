//! The state of the in-memory store, and the operations on it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::limits;
use crate::mem::history::History;
use crate::mem::lease::Lease;
use crate::{
    Change, Compare, Entry, Error, Key, LeaseId, Listing, Put, StoreRevision, Txn, TxnOutcome,
    WatchBatch,
};

/// Revision of an empty store.
const FIRST_REVISION: StoreRevision = StoreRevision(1);

/// Keys, leases and history. The caller passes the time, and calls
/// [`Table::expire_leases`] before any other operation.
#[derive(Debug)]
pub(crate) struct Table {
    revision: StoreRevision,
    entries: BTreeMap<Key, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    last_lease: LeaseId,
    history: History,
}

impl Table {
    /// Creates an empty table.
    pub(crate) fn new() -> Table {
        Table {
            revision: FIRST_REVISION,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: LeaseId(0),
            history: History::new(FIRST_REVISION),
        }
    }

    /// Returns the revision of the last write.
    pub(crate) fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the entry of a key.
    pub(crate) fn get(&self, key: &Key) -> Option<Entry> {
        self.entries.get(key).cloned()
    }

    /// Returns the entries whose keys start with `prefix`.
    pub(crate) fn list(&self, prefix: &Key) -> Listing {
        let from = self.entries.range(prefix.clone()..);
        let under = from.take_while(|(key, _)| key.is_under(prefix));
        Listing { revision: self.revision, entries: under.map(|(_, each)| each.clone()).collect() }
    }

    /// Applies a transaction if all its conditions hold. Changes nothing on an error.
    pub(crate) fn commit(&mut self, txn: Txn) -> Result<TxnOutcome, Error> {
        limits::check(&txn)?;
        if !txn.compares.iter().all(|each| self.condition_holds(each)) {
            return Ok(TxnOutcome::Conflict { found: self.compared_entries(&txn.compares) });
        }
        self.check_leases(&txn.changes)?;
        let revision = StoreRevision(self.revision.0 + 1);
        for change in txn.changes {
            match change {
                Change::Put(put) => self.put(put, revision),
                Change::Delete(key) => self.delete(&key, revision),
            }
        }
        Ok(TxnOutcome::Committed { revision: self.revision })
    }

    /// Grants a lease.
    pub(crate) fn grant(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease.0 += 1;
        self.leases.insert(self.last_lease, Lease::new(ttl, now));
        self.last_lease
    }

    /// Renews a lease.
    pub(crate) fn renew(&mut self, lease: LeaseId, now: Instant) -> Result<Duration, Error> {
        let lease = self.leases.get_mut(&lease).ok_or(Error::LeaseExpired)?;
        lease.expires_at = now + lease.ttl;
        Ok(lease.ttl)
    }

    /// Ends a lease and deletes all its keys in one revision.
    pub(crate) fn revoke(&mut self, lease: LeaseId) -> Result<(), Error> {
        let lease = self.leases.remove(&lease).ok_or(Error::LeaseExpired)?;
        let revision = StoreRevision(self.revision.0 + 1);
        for key in &lease.keys {
            self.delete(key, revision);
        }
        Ok(())
    }

    /// Ends the expired leases in the order in which they expired.
    pub(crate) fn expire_leases(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let mut expired: Vec<_> = expired.map(|(&id, lease)| (lease.expires_at, id)).collect();
        expired.sort_unstable();
        for (_, id) in expired {
            // This can't fail: each id was just read from the same table.
            let _ = self.revoke(id);
        }
    }

    /// Removes the history below `oldest`, but never the present revision.
    pub(crate) fn compact(&mut self, oldest: StoreRevision) {
        self.history.compact(oldest.min(self.revision));
    }

    /// Returns the changes of keys that start with `prefix`, from revision `from` on.
    pub(crate) fn since(&self, prefix: &Key, from: StoreRevision) -> Result<WatchBatch, Error> {
        let batch = self.history.since(prefix, from)?;
        Ok(WatchBatch { revision: self.revision, ..batch })
    }

    fn condition_holds(&self, compare: &Compare) -> bool {
        self.entries.get(&compare.key).map(|entry| entry.modified) == compare.modified
    }

    fn compared_entries(&self, compares: &[Compare]) -> Vec<Entry> {
        compares.iter().filter_map(|each| self.get(&each.key)).collect()
    }

    /// Checks that every lease that a put names exists. Fails with [`Error::LeaseExpired`]
    /// otherwise.
    fn check_leases(&self, changes: &[Change]) -> Result<(), Error> {
        let is_granted = |change: &Change| match change {
            Change::Put(Put { lease: Some(lease), .. }) => self.leases.contains_key(lease),
            _ => true,
        };
        if changes.iter().all(is_granted) { Ok(()) } else { Err(Error::LeaseExpired) }
    }

    fn put(&mut self, put: Put, revision: StoreRevision) {
        self.detach_lease(&put.key);
        if let Some(lease) = put.lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.insert(put.key.clone());
        }
        let entry =
            Entry { key: put.key.clone(), value: put.value, modified: revision, lease: put.lease };
        self.entries.insert(put.key.clone(), entry.clone());
        self.record(revision, put.key, Some(entry));
    }

    fn delete(&mut self, key: &Key, revision: StoreRevision) {
        self.detach_lease(key);
        if self.entries.remove(key).is_some() {
            self.record(revision, key.clone(), None);
        }
    }

    /// Removes a key from the lease that it is attached to.
    fn detach_lease(&mut self, key: &Key) {
        let lease = self.entries.get(key).and_then(|entry| entry.lease);
        if let Some(lease) = lease.and_then(|id| self.leases.get_mut(&id)) {
            lease.keys.remove(key);
        }
    }

    fn record(&mut self, revision: StoreRevision, key: Key, entry: Option<Entry>) {
        self.revision = revision;
        self.history.push(revision, key, entry);
    }
}
