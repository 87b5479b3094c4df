//! Log text is written in pieces of whole lines.

use vg_events::line_chunks;

fn split(text: &str, most: usize) -> Vec<&str> {
    line_chunks(text.as_bytes(), most).map(|piece| std::str::from_utf8(piece).unwrap()).collect()
}

#[test]
fn pieces_end_with_lines_and_hold_as_many_as_fit() {
    assert_eq!(split("a\nbb\nccc\n", 5), ["a\nbb\n", "ccc\n"]);
    assert_eq!(split("a\nbb\nccc\n", 100), ["a\nbb\nccc\n"]);
    assert_eq!(split("", 5), Vec::<&str>::new());
}

#[test]
fn a_line_that_is_too_long_stays_whole() {
    assert_eq!(split("a\nlonger than five\nb\n", 5), ["a\n", "longer than five\n", "b\n"]);
    assert_eq!(split("no end at all", 5), ["no end at all"]);
}

#[test]
fn nothing_is_lost_at_any_size() {
    let text: String = (0..200).map(|at| format!("{}\n", "x".repeat(at % 37))).collect();
    for most in 1..300 {
        assert_eq!(split(&text, most).concat(), text, "pieces of {most}");
    }
}
