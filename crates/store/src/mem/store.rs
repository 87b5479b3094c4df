//! The store in memory.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;
use vg_base::{Clock, SystemClock};

use crate::mem::table::Table;
use crate::mem::watch::MemWatch;
use crate::{
    Entry, Error, Key, LeaseId, Listing, Store, StoreRevision, Txn, TxnOutcome, WatchBatch,
};

/// A store in memory; clones share the same keys.
///
/// Leases lapse by the injected clock. They are checked at each call, and from
/// time to time while a watch waits.
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
    /// Makes an empty store.
    pub fn new(clock: C) -> MemStore<C> {
        let table = Table::new();
        let (revision, _) = watch::channel(table.revision());
        MemStore { shared: Arc::new(Shared { clock, table: Mutex::new(table), revision }) }
    }

    /// Forgets the history below revision `upto`; a watch from an earlier one
    /// ends with [`Error::Compacted`].
    pub fn compact(&self, upto: StoreRevision) {
        self.with(|table, _| table.compact(upto));
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> StoreRevision {
        self.with(|table, _| table.revision())
    }

    /// Returns the changes since a revision, for a watch.
    pub(crate) fn since(&self, prefix: &Key, from: StoreRevision) -> Result<WatchBatch, Error> {
        self.with(|table, _| table.since(prefix, from))
    }

    /// Runs `action` on the table after leases have lapsed, and wakes the
    /// watches if anything was written.
    fn with<T>(&self, action: impl FnOnce(&mut Table, Instant) -> T) -> T {
        let mut table = self.lock();
        // The time is read under the lock, so that it never goes backwards
        // from one transition to the next.
        let now = self.shared.clock.now();
        table.lapse(now);
        let result = action(&mut table, now);
        let revision = table.revision();
        self.shared.revision.send_if_modified(|last| {
            let written = *last != revision;
            *last = revision;
            written
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
        Ok(self.with(|table, _| table.get(key)))
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        Ok(self.with(|table, _| table.list(prefix)))
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        self.with(|table, _| table.commit(txn))
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        Ok(self.with(|table, now| table.grant(ttl, now)))
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, Error> {
        self.with(|table, now| table.renew(lease, now))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.with(|table, _| table.revoke(lease))
    }

    async fn watch(&self, prefix: &Key, from: StoreRevision) -> Result<MemWatch<C>, Error> {
        let written = self.shared.revision.subscribe();
        let from = if from.0 > 0 { from } else { StoreRevision(self.revision().0 + 1) };
        self.since(prefix, from)?;
        Ok(MemWatch::new(self.clone(), prefix.clone(), from, written))
    }
}
