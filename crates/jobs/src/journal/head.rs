//! The head of a pool's journal: its owner and where the log ends.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use snafu::ensure;
use vg_base::prelude::*;

use super::error::{EncodeSnafu, HeadSnafu};
use super::{Batch, BatchId, Expect, JournalError, StageId, Stored, Write, frame, head_key};

/// Version of the head's and the segments' form that this code writes.
pub(crate) const FORMAT_VERSION: u8 = 1;

/// The value of the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The owner.
    pub(crate) holder: Member,
    /// Its epoch; grows by one with each owner.
    pub(crate) epoch: Epoch,
    /// Number of the last batch when this owner took the pool.
    pub(crate) base: u64,
    /// The last batch.
    pub(crate) batch: BatchId,
    /// The last change given out.
    pub(crate) serial: StageId,
    /// Segments that the log has, to notice a missing one.
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
            return Err(refuse(&format!("its form is version {version}")));
        }
        let framed = frame::split(&mut value.slice(1..));
        let framed = framed.ok_or_else(|| refuse("its checksum does not hold"))?;
        rmp_serde::from_slice(frame::body(&framed)).map_err(|error| refuse(&error.to_string()))
    }
}

/// Makes the batch by which `member` takes a pool over, from the head as read.
///
/// After it took effect, or may have, read all values under
/// [`journal_prefix`](super::journal_prefix) and hand them to
/// [`recover`](super::recover), which sees whether the pool is held.
///
/// # Errors
///
/// When the head can't be read; it is then left as it is.
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

/// Checks that `member` holds the pool of `head`.
pub(crate) fn check_holder(
    pool: &PoolId,
    member: &Member,
    head: &Head,
) -> Result<(), JournalError> {
    let holder = smol_str::format_smolstr!("{}", head.holder);
    ensure!(head.holder == *member, super::error::HeldSnafu { pool: pool.clone(), holder });
    Ok(())
}
