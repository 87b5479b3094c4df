//! The interface of the store.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::Error;

/// A key: UTF-8 text whose parts are separated by `/`.
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

/// A value of at most [`VALUE_MAX_BYTES`](crate::VALUE_MAX_BYTES), which is a megabyte.
pub type Value = Bytes;

/// A revision of the whole store. It grows with each transaction that writes.
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

/// A lease of the store. The keys that are attached to it are deleted when it expires.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display, From,
)]
pub struct LeaseId(pub i64);

/// A key with its value, the revision of its last write, and its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Key,
    /// The value.
    pub value: Value,
    /// Revision of the last write.
    pub modified: StoreRevision,
    /// Lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// The entries whose keys start with a prefix, as of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Revision at which the entries were read; a watch continues at the next revision.
    pub revision: StoreRevision,
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: Key,
    /// Required revision of the last write of the key; `None` requires that the key does
    /// not exist.
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
    /// Lease to attach the key to.
    pub lease: Option<LeaseId>,
}

/// Writes that take effect together if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes; each key may occur at most once.
    pub changes: Vec<Change>,
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Txn {
        Txn::default()
    }

    /// Adds the condition that `key` was last written at revision `modified`, or doesn't exist
    /// if `modified` is `None`.
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

    /// Adds a write of a key that is deleted when `lease` ends.
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

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnOutcome {
    /// All writes took effect.
    Committed {
        /// Revision of the writes; if nothing was written, the present revision.
        revision: StoreRevision,
    },
    /// A condition did not hold; nothing was written.
    Conflict {
        /// The current entries of the compared keys; keys that don't exist are left out.
        found: Vec<Entry>,
    },
}

/// Changes that a watch delivers together, in the order of their revisions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchBatch {
    /// All changes up to this revision of the store have been delivered.
    pub revision: StoreRevision,
    /// Changed keys: the entry, or `None` after the key was deleted.
    pub changes: Vec<(Key, Option<Entry>)>,
}

/// A running watch.
pub trait Watch: Send {
    /// Waits for the next changes. An empty batch may be returned to show that the watch is
    /// still alive.
    ///
    /// The future is cancel-safe: no change is lost if it is dropped before it is ready.
    ///
    /// # Errors
    ///
    /// Any error ends the watch. After [`Error::Compacted`] the caller must list the keys
    /// again before it opens a new watch.
    fn next(&mut self) -> impl Future<Output = Result<WatchBatch, Error>> + Send;
}

/// The platform's key-value service.
///
/// Each call counts against the call budget of the service. A waiting watch counts as one
/// call.
pub trait Store: Clone + Send + Sync + 'static {
    /// The watch type.
    type Watch: Watch;

    /// Reads one key from the latest committed state.
    fn get(&self, key: &Key) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys that start with `prefix` from the latest committed state.
    fn range(&self, prefix: &Key) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Commits a transaction: writes all changes if all conditions hold.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseExpired`] if a write names a lease that has ended, and
    /// [`Error::Refused`] if the transaction exceeds a limit. After [`Error::AnswerLost`]
    /// the writes may have taken effect, or may still do so.
    fn commit(&self, txn: Txn) -> impl Future<Output = Result<TxnOutcome, Error>> + Send;

    /// Grants a lease with at least this time to live; an implementation may round `ttl` up.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Error>> + Send;

    /// Renews a lease and returns its time to live from now on.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseExpired`] if the lease has expired or was revoked.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Duration, Error>> + Send;

    /// Revokes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseExpired`] if the lease has expired or was already revoked.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>> + Send;

    /// Watches all keys that start with `prefix`, from revision `from` on. Revision 0 stands
    /// for the next revision.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if `from` is compacted; an implementation may return this error
    /// from the first [`Watch::next`] instead.
    fn watch(
        &self,
        prefix: &Key,
        from: StoreRevision,
    ) -> impl Future<Output = Result<Self::Watch, Error>> + Send;
}
