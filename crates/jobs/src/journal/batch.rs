//! Batches of writes, in a form that names no store.

use bytes::Bytes;
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Position of a staged change; all changes up to a durable one are durable.
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
    Into,
)]
#[serde(transparent)]
pub struct StageId(pub u64);

/// Identifies a batch; it stands in the head that the batch writes.
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
)]
#[display("{epoch}/{seq}")]
pub struct BatchId {
    /// Epoch of the owner that wrote it.
    pub epoch: Epoch,
    /// Number in the pool's log; grows by one with each batch.
    pub seq: u64,
}

/// A value as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Key.
    pub key: SmolStr,
    /// Value.
    pub value: Bytes,
    /// Revision of its last write.
    pub revision: i64,
}

/// A condition: the key's last write, or `None` when it must not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expect {
    /// Key.
    pub key: SmolStr,
    /// Revision.
    pub revision: Option<i64>,
}

/// A write that takes effect with the batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key.
        key: SmolStr,
        /// Value.
        value: Bytes,
    },
    /// Deletes a key.
    Delete {
        /// Key.
        key: SmolStr,
    },
}

/// Writes to commit as one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Its id.
    pub id: BatchId,
    /// The conditions.
    pub expects: Vec<Expect>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Batch {
    /// Returns the bytes of all keys and values that it writes.
    pub fn bytes(&self) -> usize {
        let each = |write: &Write| match write {
            Write::Put { key, value } => key.len() + value.len(),
            Write::Delete { key } => key.len(),
        };
        self.writes.iter().map(each).sum()
    }
}

/// What the store said to a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// It took effect.
    Done {
        /// Revision of its writes.
        revision: i64,
    },
    /// A condition did not hold.
    Conflict,
    /// No answer: it may have taken effect, or may yet.
    Lost,
    /// The store was not reached; it had no effect.
    Unreached,
}

/// What an owner that lost its pool knows of changes not proved durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Durability {
    /// Durable: the next owner has it.
    #[display("durable")]
    Durable,
    /// Not written, and never will be.
    #[display("not written")]
    NotWritten,
    /// Can't be told.
    #[display("unknown")]
    Unknown,
}

/// What follows from the store's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All changes up to this one are durable.
    Durable(StageId),
    /// Commit the same batch again; it takes effect at most once.
    Retry,
    /// Read the head and hand it in.
    ReadHead,
    /// Another owner has the pool. The batch under way ended like this; later
    /// changes were never written.
    Fenced(Durability),
    /// The answer belongs to no batch under way.
    Stale,
}
