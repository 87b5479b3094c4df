//! Segments: the stored values that make up the log.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use vg_base::prelude::*;

use super::head::FORMAT_VERSION;
use super::record::LogEntry;
use super::{BatchId, StageId, frame};

/// Size of a segment's header in bytes.
const SEGMENT_HEADER_BYTES: usize = 1 + 8 + 8 + 8 + 4;

/// Packs frames into the value of one segment. `base` is the position of the last
/// change before the first one of this batch.
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

/// The readable part of a segment.
#[derive(Debug)]
pub(crate) struct Unpacked {
    /// `base` of [`pack`], if the header of the segment could be read.
    pub(crate) base: Option<StageId>,
    /// The undamaged frames with their decoded records.
    pub(crate) frames: Vec<(Bytes, LogEntry)>,
    /// What is wrong with the rest of the segment, or `None` if it is undamaged.
    pub(crate) damage: Option<SmolStr>,
}

/// Reads the value of a segment.
pub(crate) fn unpack(seq: u64, mut value: Bytes) -> Unpacked {
    let damaged =
        |reason: SmolStr| Unpacked { base: None, frames: Vec::new(), damage: Some(reason) };
    if value.len() < SEGMENT_HEADER_BYTES {
        return damaged("its header is truncated".into());
    }
    let version = value.get_u8();
    if version != FORMAT_VERSION {
        return damaged(smol_str::format_smolstr!("its format version is {version}"));
    }
    let _epoch = value.get_u64();
    if value.get_u64() != seq {
        return damaged("its sequence number does not match its key".into());
    }
    let base = Some(StageId(value.get_u64()));
    let count = value.get_u32() as usize;
    let (frames, damage) = read_frames(value, count);
    Unpacked { base, frames, damage }
}

/// Reads up to `count` frames, and returns them with a description of the damage,
/// if there is any.
fn read_frames(mut rest: Bytes, count: usize) -> (Vec<(Bytes, LogEntry)>, Option<SmolStr>) {
    let mut frames = Vec::new();
    let mut undecoded = 0;
    for at in 0..count {
        let Some(frame) = frame::split(&mut rest) else {
            let lost = count - at + undecoded;
            return (
                frames,
                Some(smol_str::format_smolstr!(
                    "{lost} of {count} records are truncated or damaged"
                )),
            );
        };
        match LogEntry::decode(&frame) {
            Some(entry) => frames.push((frame, entry)),
            None => undecoded += 1,
        }
    }
    let damage = smol_str::format_smolstr!("{undecoded} of {count} records can't be decoded");
    (frames, (undecoded > 0).then_some(damage))
}
