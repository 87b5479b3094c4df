//! The store as the rest of the system sees it.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Error;

/// A key, UTF-8 text with `/` between its parts.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, From,
)]
#[from(&str, String, SmolStr)]
pub struct Key(pub SmolStr);

impl Key {
    /// Whether the key starts with `prefix`.
    pub fn is_under(&self, prefix: &Key) -> bool {
        self.0.starts_with(prefix.0.as_str())
    }
}

/// A value of at most a megabyte.
pub type Value = Bytes;

/// A revision of the whole store; grows with each write.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    From,
)]
pub struct StoreRevision(pub i64);

/// A lease of the store; keys that it holds vanish when it lapses.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, From,
)]
pub struct LeaseId(pub i64);

/// A key with its value and the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Value,
    /// Revision of the last write.
    pub modified: StoreRevision,
    /// Lease that holds the key.
    pub lease: Option<LeaseId>,
}

/// The entries under a prefix as of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Revision that the entries were read at; a watch goes on from the next.
    pub revision: StoreRevision,
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: Key,
    /// Revision of the key's last write; `None`: the key must not exist.
    pub modified: Option<StoreRevision>,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Sets a key.
    Put(Put),
    /// Deletes a key if it exists.
    Delete(Key),
}

impl Change {
    /// Returns the key that is written.
    pub fn key(&self) -> &Key {
        match self {
            Change::Put(put) => &put.key,
            Change::Delete(key) => key,
        }
    }
}

/// A key to set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Value,
    /// Lease that shall hold the key.
    pub lease: Option<LeaseId>,
}

/// Writes that take effect together if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes, each key at most once.
    pub changes: Vec<Change>,
}

impl Txn {
    /// Makes an empty transaction.
    pub fn new() -> Txn {
        Txn::default()
    }

    /// Adds a condition: `key` was last written at `modified`, or doesn't exist.
    #[must_use]
    pub fn expect(mut self, key: impl Into<Key>, modified: Option<StoreRevision>) -> Txn {
        self.compares.push(Compare { key: key.into(), modified });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, key: impl Into<Key>, value: impl Into<Value>) -> Txn {
        self.changes.push(Change::Put(Put { key: key.into(), value: value.into(), lease: None }));
        self
    }

    /// Adds a write that vanishes with a lease.
    #[must_use]
    pub fn put_leased(
        mut self,
        key: impl Into<Key>,
        value: impl Into<Value>,
        lease: LeaseId,
    ) -> Txn {
        let (key, value) = (key.into(), value.into());
        self.changes.push(Change::Put(Put { key, value, lease: Some(lease) }));
        self
    }

    /// Adds a deletion.
    #[must_use]
    pub fn delete(mut self, key: impl Into<Key>) -> Txn {
        self.changes.push(Change::Delete(key.into()));
        self
    }
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// All writes took effect.
    Committed {
        /// Revision of the writes.
        revision: StoreRevision,
    },
    /// A condition did not hold; nothing was written.
    Conflict {
        /// The compared keys that exist, as they are now.
        found: Vec<Entry>,
    },
}

/// Changes that a watch delivers together, in the order of their revisions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchBatch {
    /// The store's revision up to which the watch is complete.
    pub revision: StoreRevision,
    /// Changed keys: the entry, or `None` after the key was deleted.
    pub changes: Vec<(Key, Option<Entry>)>,
}

/// A running watch.
pub trait Watch: Send {
    /// Waits for the next changes. Empty batches may come as signs of life.
    ///
    /// The future can be dropped before it is ready; no change is lost by it.
    ///
    /// # Errors
    ///
    /// Any error ends the watch; after [`Error::Compacted`] list anew.
    fn next(&mut self) -> impl Future<Output = Result<WatchBatch, Error>> + Send;
}

/// The platform's key-value service.
///
/// Each call counts against the service's budget, a waiting watch as one.
pub trait Store: Clone + Send + Sync + 'static {
    /// The watch type.
    type Watch: Watch;

    /// Reads one key, from the latest committed state.
    fn get(&self, key: &Key) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys that start with `prefix`, from the latest committed state.
    fn range(&self, prefix: &Key) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Commits a transaction.
    fn commit(&self, txn: Txn) -> impl Future<Output = Result<TxnOutcome, Error>> + Send;

    /// Grants a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Error>> + Send;

    /// Renews a lease and returns its time to live.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Duration, Error>> + Send;

    /// Revokes a lease and deletes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>> + Send;

    /// Watches all keys that start with `prefix`, from revision `from` on.
    fn watch(
        &self,
        prefix: &Key,
        from: StoreRevision,
    ) -> impl Future<Output = Result<Self::Watch, Error>> + Send;
}
