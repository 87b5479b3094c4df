//! The head of a pool's journal: its owner and where the log ends.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::ensure;
use vg_base::prelude::*;

use super::error::{EncodeSnafu, HeadSnafu};
use super::{Batch, BatchId, Expect, JournalError, StageId, Stored, Write, frame, head_key};

/// Format version of the head and of the segments that this code writes.
pub(crate) const FORMAT_VERSION: u8 = 1;

/// The value stored as the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The owner.
    pub(crate) holder: Member,
    /// Epoch of the owner. It grows by one with each new owner.
    pub(crate) epoch: Epoch,
    /// Sequence number of the last batch when this owner took over the pool.
    pub(crate) base: u64,
    /// The last batch.
    pub(crate) batch: BatchId,
    /// Position of the last change in the log.
    pub(crate) serial: StageId,
    /// Number of segments in the log, by which a missing segment is noticed.
    pub(crate) segments: u32,
}

impl Head {
    pub(crate) fn encode(&self) -> Result<Bytes, JournalError> {
        let body = rmp_serde::to_vec(self)
            .map_err(|error| EncodeSnafu { reason: error.to_string() }.build())?;
        let mut value = vec![FORMAT_VERSION];
        value.extend_from_slice(&frame::wrap(&body));
        Ok(value.into())
    }

    pub(crate) fn decode(pool: &PoolId, value: &Bytes) -> Result<Head, JournalError> {
        let refuse = |reason: &str| HeadSnafu { pool: pool.clone(), reason }.build();
        let version = *value.first().ok_or_else(|| refuse("it is empty"))?;
        if version != FORMAT_VERSION {
            return Err(refuse(&format!("its format version is {version}")));
        }
        let framed = frame::split(&mut value.slice(1..));
        let framed = framed.ok_or_else(|| refuse("its checksum does not match"))?;
        rmp_serde::from_slice(frame::body(&framed)).map_err(|error| refuse(&error.to_string()))
    }
}

/// Builds the batch by which `member` takes over a pool, from the head as read.
///
/// Once the batch has taken effect, or may have, all values under
/// [`journal_prefix`](super::journal_prefix) have to be read and passed to
/// [`recover`](super::recover), which checks whether `member` owns the pool.
///
/// # Errors
///
/// Returns an error if the head can't be decoded, in which case it is left
/// unchanged, or if the new head can't be encoded.
pub fn claim(pool: &PoolId, member: &Member, head: Option<&Stored>) -> Result<Batch, JournalError> {
    let former = head.map(|stored| Head::decode(pool, &stored.value)).transpose()?;
    let next = match former {
        Some(former) => Head {
            holder: member.clone(),
            epoch: former.epoch.next(),
            base: former.batch.seq,
            ..former
        },
        None => Head {
            holder: member.clone(),
            epoch: Epoch(1),
            base: 0,
            batch: BatchId::default(),
            serial: StageId::default(),
            segments: 0,
        },
    };
    let key = head_key(pool);
    let expect = Expect { key: key.clone(), revision: head.map(|stored| stored.revision) };
    let put = Write::Put { key, value: next.encode()? };
    let id = BatchId { epoch: next.epoch, seq: next.base };
    Ok(Batch { id, expects: vec![expect], writes: vec![put] })
}

/// Checks that `member` is the owner named in `head`.
pub(crate) fn check_holder(
    pool: &PoolId,
    member: &Member,
    head: &Head,
) -> Result<(), JournalError> {
    let holder = smol_str::format_smolstr!("{}", head.holder);
    ensure!(head.holder == *member, super::error::HeldSnafu { pool: pool.clone(), holder });
    Ok(())
}
