//! The head of the records, which names the planner and the last batch.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use super::{Batch, BatchId, Expect, HEAD_KEY, RecordsError, Stored, Write, codec};

/// The stored value of the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The member that is the planner.
    pub(crate) holder: Member,
    /// Epoch of the planner. It increases by one with each claim.
    pub(crate) epoch: Epoch,
    /// Id of the last batch.
    pub(crate) batch: BatchId,
    /// One bit for each shard that was ever written. A missing shard is detected
    /// by its bit.
    pub(crate) written: u64,
}

/// Returns the batch by which `member` becomes the planner. `head` is the current
/// value of the head, if there is one.
///
/// When the batch has taken effect or may have done so, read all values under
/// [`KEY_PREFIX`](super::KEY_PREFIX) and pass them to
/// [`Records::recover`](super::Records::recover), which checks who the planner is.
///
/// # Errors
///
/// If the head can't be read. It must not be overwritten then.
pub fn claim(member: &Member, head: Option<&Stored>) -> Result<Batch, RecordsError> {
    let previous: Option<Head> = head.map(codec::decode).transpose()?;
    let epoch = previous.as_ref().map_or(Epoch(1), |previous| previous.epoch.next());
    let seq = previous.as_ref().map_or(0, |previous| previous.batch.seq);
    let written = previous.map_or(0, |previous| previous.written);
    let id = BatchId { epoch, seq };
    let next = Head { holder: member.clone(), epoch, batch: id, written };
    let expect = Expect { key: HEAD_KEY, revision: head.map(|stored| stored.revision) };
    let write = Write { key: HEAD_KEY, value: codec::encode(&HEAD_KEY, &next)? };
    Ok(Batch { id, expects: vec![expect], writes: vec![write] })
}
