//! Log text is split into chunks of whole lines.

use vg_events::line_chunks;

fn split(text: &str, max_bytes: usize) -> Vec<&str> {
    line_chunks(text.as_bytes(), max_bytes)
        .map(|chunk| std::str::from_utf8(chunk).unwrap())
        .collect()
}

/// Guards against chunks that end within a line and against chunks that hold
/// fewer lines than fit.
#[test]
fn chunks_hold_as_many_whole_lines_as_fit() {
    assert_eq!(split("a\nbb\nccc\n", 5), ["a\nbb\n", "ccc\n"]);
    assert_eq!(split("a\nbb\nccc\n", 100), ["a\nbb\nccc\n"]);
    assert_eq!(split("", 5), Vec::<&str>::new());
}

/// Guards against a split within a line that is longer than a chunk may be.
#[test]
fn overlong_line_is_not_split() {
    assert_eq!(split("a\nlonger than five\nb\n", 5), ["a\n", "longer than five\n", "b\n"]);
    assert_eq!(split("no end at all", 5), ["no end at all"]);
}

/// Guards against lost or repeated bytes at the chunk boundaries.
#[test]
fn chunks_of_any_size_add_up_to_the_text() {
    let text: String = (0..200).map(|index| format!("{}\n", "x".repeat(index % 37))).collect();
    for max_bytes in 1..300 {
        assert_eq!(split(&text, max_bytes).concat(), text, "chunks of {max_bytes} bytes");
    }
}
