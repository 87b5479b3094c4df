//! Batches of writes, in a form that names no store.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Identifies a batch; it stands in the head that the batch writes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{epoch}/{seq}")]
pub struct BatchId {
    /// Epoch of the planner that wrote it.
    pub epoch: Epoch,
    /// Grows by one with each batch.
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

/// A value that is set with the batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key.
    pub key: SmolStr,
    /// Value.
    pub value: Bytes,
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
    /// The store was not reached; it had no effect and will have none.
    Unreached,
}

/// What follows from the store's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All steps of the batch are durable.
    Durable,
    /// None of its steps took effect or will; plan anew.
    Dropped,
    /// Commit the same batch again; it takes effect at most once.
    Retry,
    /// Read the head and hand it to [`Records::handle_head`](super::Records::handle_head).
    ReadHead,
    /// A shard was written by another hand; read all values and recover anew.
    Reload,
    /// Another entry host is the planner; stop.
    Fenced,
    /// The answer belongs to no batch under way.
    Stale,
}
