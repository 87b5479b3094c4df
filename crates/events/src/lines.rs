//! Log text in pieces that a pipe takes whole.

/// Most bytes that one write to a pipe moves as a whole. Readers may cut longer
/// writes, and writes of other processes may come between their parts.
pub const ATOMIC_WRITE_BYTES: usize = 4096;

/// Splits `text` after line ends into pieces of at most `most` bytes. A line
/// that is longer than that is a piece of its own.
pub fn line_chunks(text: &[u8], most: usize) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let (piece, left) = rest.split_at(piece_end(rest, most));
        rest = left;
        (!piece.is_empty()).then_some(piece)
    })
}

fn piece_end(text: &[u8], most: usize) -> usize {
    if text.len() <= most {
        return text.len();
    }
    let is_end = |&byte: &u8| byte == b'\n';
    let last = text[..most].iter().rposition(is_end);
    let first = || text.iter().position(is_end);
    last.or_else(first).map_or(text.len(), |at| at + 1)
}
