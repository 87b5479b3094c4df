//! Parsing of INI text that keeps the line number of every header and entry.
//!
//! `rust-ini` parses a whole text, stops at the first error and keeps no line
//! numbers. Operators get all diagnostics at once with their line numbers, so this
//! module splits the text into lines and lets `rust-ini` parse each of them.

mod diagnostic;
mod reader;
mod scan;
mod section;
mod value;

pub use diagnostic::{Diagnostic, Diagnostics};
pub(crate) use reader::SectionReader;
pub(crate) use scan::scan;
pub(crate) use section::{Entry, Section};
pub use value::ValueParser;
pub(crate) use value::{parse_duration, parse_from_str, parse_items, parse_keyword, parse_number};

/// Returns the known word that is closest to `word`, if it is similar enough to
/// be what the operator meant.
pub fn closest_word<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    const MIN_SIMILARITY: f64 = 0.6;
    // A comparison costs the product of both lengths, and a long word is not a
    // misspelt key.
    const MAX_WORD_BYTES: usize = 64;
    if word.len() > MAX_WORD_BYTES {
        return None;
    }
    let scored =
        known.into_iter().map(|each| (strsim::normalized_damerau_levenshtein(word, each), each));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= MIN_SIMILARITY).then_some(best.1)
}

/// Returns the end of a message that suggests the closest known word, or an
/// empty text if no word is close.
pub(crate) fn suggestion<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    closest_word(word, known)
        .map(|closest| format!(", did you mean `{closest}`?"))
        .unwrap_or_default()
}
