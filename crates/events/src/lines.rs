//! Splits log text into chunks that are written to a pipe atomically.

/// Maximum number of bytes that one write to a pipe transfers atomically. A
/// reader may see only a part of a longer write, and writes of other processes
/// may be interleaved with its parts.
pub const ATOMIC_WRITE_BYTES: usize = 4096;

/// Splits `text` after newlines into chunks of at most `max_bytes` bytes. A
/// longer line is a chunk of its own and is not split.
pub fn line_chunks(text: &[u8], max_bytes: usize) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let (chunk, tail) = rest.split_at(chunk_len(rest, max_bytes));
        rest = tail;
        (!chunk.is_empty()).then_some(chunk)
    })
}

/// Returns the length of the first chunk of `text` in bytes.
fn chunk_len(text: &[u8], max_bytes: usize) -> usize {
    if text.len() <= max_bytes {
        return text.len();
    }
    let is_newline = |&byte: &u8| byte == b'\n';
    let last = text[..max_bytes].iter().rposition(is_newline);
    let first = || text.iter().position(is_newline);
    last.or_else(first).map_or(text.len(), |index| index + 1)
}
