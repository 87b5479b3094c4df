//! Segments: the values of the log.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use vg_base::prelude::*;

use super::head::FORMAT_VERSION;
use super::record::Sealed;
use super::{BatchId, StageId, frame};

/// Bytes of a segment before its frames.
const SEGMENT_HEAD_BYTES: usize = 1 + 8 + 8 + 8 + 4;

/// Packs frames into the value of one segment. `base` is the last change given
/// out before the first one of this batch.
pub(crate) fn pack<'a>(
    id: BatchId,
    base: StageId,
    frames: impl ExactSizeIterator<Item = &'a Bytes>,
) -> Bytes {
    let mut value = BytesMut::new();
    value.put_u8(FORMAT_VERSION);
    value.put_u64(id.epoch.get());
    value.put_u64(id.seq);
    value.put_u64(base.0);
    value.put_u32(frames.len() as u32);
    frames.for_each(|frame| value.put_slice(frame));
    value.freeze()
}

/// A segment as far as it could be read.
#[derive(Debug)]
pub(crate) struct Unpacked {
    /// `base` of [`pack`], if the head of the segment could be read.
    pub(crate) base: Option<StageId>,
    /// The sound frames with their records.
    pub(crate) frames: Vec<(Bytes, Sealed)>,
    /// What is wrong with the rest.
    pub(crate) damage: Option<SmolStr>,
}

/// Reads the value of a segment.
pub(crate) fn unpack(seq: u64, mut value: Bytes) -> Unpacked {
    let damaged =
        |reason: SmolStr| Unpacked { base: None, frames: Vec::new(), damage: Some(reason) };
    if value.len() < SEGMENT_HEAD_BYTES {
        return damaged("its head is cut off".into());
    }
    let version = value.get_u8();
    if version != FORMAT_VERSION {
        return damaged(smol_str::format_smolstr!("its form is version {version}"));
    }
    let _epoch = value.get_u64();
    if value.get_u64() != seq {
        return damaged("it stands under another's key".into());
    }
    let base = Some(StageId(value.get_u64()));
    let count = value.get_u32() as usize;
    let (frames, damage) = read_frames(value, count);
    Unpacked { base, frames, damage }
}

fn read_frames(mut rest: Bytes, count: usize) -> (Vec<(Bytes, Sealed)>, Option<SmolStr>) {
    let mut frames = Vec::new();
    let mut unread = 0;
    for at in 0..count {
        let Some(frame) = frame::split(&mut rest) else {
            let lost = count - at + unread;
            return (
                frames,
                Some(smol_str::format_smolstr!("{lost} of {count} records are cut off")),
            );
        };
        match Sealed::decode(&frame) {
            Some(sealed) => frames.push((frame, sealed)),
            None => unread += 1,
        }
    }
    let damage = smol_str::format_smolstr!("{unread} of {count} records are of another form");
    (frames, (unread > 0).then_some(damage))
}
