//! Frames: records stored with a length and a checksum, so that damage is detected
//! and the records before it stay readable.

use bytes::{BufMut, Bytes, BytesMut};
use xxhash_rust::xxh3::xxh3_64;

/// Size of a frame's header in bytes: the length and the checksum.
const FRAME_HEADER_BYTES: usize = 4 + 8;

/// Largest body of a frame in bytes.
pub(crate) const FRAME_MAX_BYTES: usize = 64 * 1024;

/// Wraps the body of a record in a frame.
pub(crate) fn wrap(body: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(FRAME_HEADER_BYTES + body.len());
    frame.put_u32(body.len() as u32);
    frame.put_u64(xxh3_64(body));
    frame.put_slice(body);
    frame.freeze()
}

/// Splits the first frame off `rest`. Returns `None` if there is no complete frame
/// with a matching checksum.
pub(crate) fn split(rest: &mut Bytes) -> Option<Bytes> {
    let head = rest.get(..FRAME_HEADER_BYTES)?;
    let length = u32::from_be_bytes(head[..4].try_into().ok()?) as usize;
    let sum = u64::from_be_bytes(head[4..].try_into().ok()?);
    if length > FRAME_MAX_BYTES {
        return None;
    }
    let body = rest.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length)?;
    if xxh3_64(body) != sum {
        return None;
    }
    Some(rest.split_to(FRAME_HEADER_BYTES + length))
}

/// Returns the body of a frame that [`wrap`] or [`split`] returned.
pub(crate) fn body(frame: &Bytes) -> &[u8] {
    frame.get(FRAME_HEADER_BYTES..).unwrap_or_default()
}
