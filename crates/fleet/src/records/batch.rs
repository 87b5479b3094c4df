//! Batches of writes, independent of the store's interface.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Identifies a batch. The head that the batch writes contains this id.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[display("{epoch}/{seq}")]
pub struct BatchId {
    /// Epoch of the planner that created the batch.
    pub epoch: Epoch,
    /// Sequence number, which increases by one with each batch of transitions. The
    /// batch of a claim keeps the number and has a new epoch.
    pub seq: u64,
}

/// A value that was read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Key.
    pub key: SmolStr,
    /// Value.
    pub value: Bytes,
    /// Store revision of the last write of the key.
    pub revision: i64,
}

/// A condition of a batch on one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expect {
    /// Key.
    pub key: SmolStr,
    /// Store revision that the last write of the key must have, or `None` if the
    /// key must not exist.
    pub revision: Option<i64>,
}

/// A value that a batch writes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Key.
    pub key: SmolStr,
    /// Value.
    pub value: Bytes,
}

/// Writes that are committed as one transaction if all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Id of the batch.
    pub id: BatchId,
    /// The conditions.
    pub expects: Vec<Expect>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The store's answer to a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Commit {
    /// The batch took effect.
    Committed {
        /// Revision of its writes.
        revision: i64,
    },
    /// A condition did not hold.
    Conflict,
    /// There was no answer: the batch may have taken effect, or may still do so.
    Lost,
    /// The store was not reached. The batch had no effect and will have none.
    Unreached,
}

/// What follows from the store's answer to a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All transitions of the batch are durable.
    Durable,
    /// None of the transitions took effect or will. They have to be planned again.
    Dropped,
    /// The same batch has to be committed again. It takes effect at most once.
    Retry,
    /// The head has to be read and passed to
    /// [`Records::handle_head`](super::Records::handle_head).
    ReadHead,
    /// Another writer changed a shard. All values have to be read and passed to
    /// [`Records::recover`](super::Records::recover).
    Reload,
    /// Another entry host is the planner. This planner has to stop.
    Fenced,
    /// The answer does not belong to the pending batch, or no batch is pending.
    Stale,
}
