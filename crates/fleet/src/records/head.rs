//! The head: who the planner is, and the last batch.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use super::{Batch, BatchId, Expect, HEAD_KEY, RecordsError, Stored, Write, codec};

/// The value of the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The planner.
    pub(crate) holder: Member,
    /// Its epoch; grows by one with each planner.
    pub(crate) epoch: Epoch,
    /// The last batch.
    pub(crate) batch: BatchId,
    /// One bit for each shard that was ever written, to notice a missing one.
    pub(crate) written: u64,
}

/// Makes the batch by which `member` becomes the planner, from the head as read.
///
/// After it took effect, or may have, read all values under
/// [`KEY_PREFIX`](super::KEY_PREFIX) and hand them to
/// [`Records::recover`](super::Records::recover), which sees who the planner is.
///
/// # Errors
///
/// When the head can't be read; it is then left as it is.
pub fn claim(member: &Member, head: Option<&Stored>) -> Result<Batch, RecordsError> {
    let former: Option<Head> = head.map(codec::decode).transpose()?;
    let epoch = former.as_ref().map_or(Epoch(1), |former| former.epoch.next());
    let seq = former.as_ref().map_or(0, |former| former.batch.seq);
    let written = former.map_or(0, |former| former.written);
    let id = BatchId { epoch, seq };
    let next = Head { holder: member.clone(), epoch, batch: id, written };
    let expect = Expect { key: HEAD_KEY, revision: head.map(|stored| stored.revision) };
    let write = Write { key: HEAD_KEY, value: codec::encode(&HEAD_KEY, &next)? };
    Ok(Batch { id, expects: vec![expect], writes: vec![write] })
}
