//! The in-memory store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use vg_base::{Clock, SystemClock};

use crate::mem::table::Table;
use crate::mem::watch::MemWatch;
use crate::{
    Entry, Error, Key, LeaseId, Listing, Store, StoreRevision, Txn, TxnOutcome, WatchBatch,
};

/// An in-memory store; clones share the same keys.
///
/// Leases expire by the injected clock. Expiry is checked at each call, and periodically
/// while a watch waits.
#[derive(Debug, Clone)]
pub struct MemStore<C = SystemClock> {
    shared: Arc<Shared<C>>,
}

#[derive(Debug)]
struct Shared<C> {
    clock: C,
    table: Mutex<Table>,
    revision: watch::Sender<StoreRevision>,
}

impl<C: Clock> MemStore<C> {
    /// Creates an empty store.
    pub fn new(clock: C) -> MemStore<C> {
        let table = Table::new();
        let (revision, _) = watch::channel(table.revision());
        MemStore { shared: Arc::new(Shared { clock, table: Mutex::new(table), revision }) }
    }

    /// Removes the history below revision `upto`; a watch from an earlier revision
    /// ends with [`Error::Compacted`].
    pub fn compact(&self, upto: StoreRevision) {
        self.with_table(|table, _| table.compact(upto));
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> StoreRevision {
        self.with_table(|table, _| table.revision())
    }

    /// Returns the changes of keys that start with `prefix`, from revision `from` on.
    pub(crate) fn since(&self, prefix: &Key, from: StoreRevision) -> Result<WatchBatch, Error> {
        self.with_table(|table, _| table.since(prefix, from))
    }

    /// Ends the expired leases, runs `action` on the table, and wakes the watches if
    /// anything was written.
    fn with_table<T>(&self, action: impl FnOnce(&mut Table, Instant) -> T) -> T {
        let mut table = self.lock();
        // The time is read while the lock is held, so that it never goes backwards from
        // one action to the next.
        let now = self.shared.clock.now();
        table.expire_leases(now);
        let result = action(&mut table, now);
        let revision = table.revision();
        self.shared.revision.send_if_modified(|last| {
            let has_changed = *last != revision;
            *last = revision;
            has_changed
        });
        result
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.shared.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> Store for MemStore<C> {
    type Watch = MemWatch<C>;

    async fn get(&self, key: &Key) -> Result<Option<Entry>, Error> {
        Ok(self.with_table(|table, _| table.get(key)))
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        Ok(self.with_table(|table, _| table.list(prefix)))
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        self.with_table(|table, _| table.commit(txn))
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        Ok(self.with_table(|table, now| table.grant(ttl, now)))
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, Error> {
        self.with_table(|table, now| table.renew(lease, now))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.with_table(|table, _| table.revoke(lease))
    }

    async fn watch(&self, prefix: &Key, from: StoreRevision) -> Result<MemWatch<C>, Error> {
        let revisions = self.shared.revision.subscribe();
        let from = if from.0 > 0 { from } else { StoreRevision(self.revision().0 + 1) };
        self.since(prefix, from)?;
        Ok(MemWatch::new(self.clone(), prefix.clone(), from, revisions))
    }
}
