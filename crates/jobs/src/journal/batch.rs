//! Batches of writes to the store, in types that do not depend on a particular
//! store.

use bytes::Bytes;
use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Position of a staged change in the journal. Changes become durable in order: if
/// one is durable, so are all changes before it.
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

/// Identifies a batch. The head that the batch writes contains this id.
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
    /// Epoch of the owner that wrote the batch.
    pub epoch: Epoch,
    /// Sequence number in the pool's log. It grows by one with each batch.
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

/// A condition on a key: the revision of its last write, or `None` if the key must
/// not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expect {
    /// Key.
    pub key: SmolStr,
    /// Expected revision.
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

/// Writes and conditions to commit as one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Id of the batch.
    pub id: BatchId,
    /// The conditions.
    pub expects: Vec<Expect>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Batch {
    /// Returns the number of bytes of all keys and values that the batch writes.
    pub fn bytes(&self) -> usize {
        let each = |write: &Write| match write {
            Write::Put { key, value } => key.len() + value.len(),
            Write::Delete { key } => key.len(),
        };
        self.writes.iter().map(each).sum()
    }
}

/// Answer of the store to a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// The batch took effect.
    Done {
        /// Revision of its writes.
        revision: i64,
    },
    /// A condition did not hold.
    Conflict,
    /// There was no answer: the batch may have taken effect, or may still do so.
    Lost,
    /// The store was not reached, and the batch had no effect.
    Unreached,
}

/// What an owner that lost its pool knows about a change that was not confirmed as
/// durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Durability {
    /// The change is durable, and the next owner has it.
    #[display("durable")]
    Durable,
    /// The change was not written and never will be.
    #[display("not written")]
    NotWritten,
    /// It is not known whether the change is durable.
    #[display("unknown")]
    Unknown,
}

/// What follows from the store's answer to a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All changes up to this one are durable.
    Durable(StageId),
    /// The same batch has to be committed again. It takes effect at most once.
    Retry,
    /// The head has to be read and passed to
    /// [`Journal::handle_head`](super::Journal::handle_head).
    ReadHead,
    /// Another member owns the pool. The pending batch ended as stated; later
    /// changes were never written.
    Fenced(Durability),
    /// The answer does not belong to a pending batch.
    Stale,
}
