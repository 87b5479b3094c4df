//! Reading of INI text with the line of everything in it.
//!
//! `rust-ini` parses a whole text, stops at the first error and keeps no line
//! numbers. Operators get all diagnostics at once with their lines, so the text is
//! cut into logical lines here and `rust-ini` gives each its meaning.

mod fault;
mod kind;
mod reader;
mod scan;
mod section;

pub use fault::{Diagnostic, Diagnostics};
pub use kind::ValueParser;
pub(crate) use kind::{items, number, one_of, span, words};
pub(crate) use reader::Reader;
pub(crate) use scan::scan;
pub(crate) use section::{Entry, Section};

/// Returns the known word closest to `word`, if one is close enough to be meant.
pub fn closest_word<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    const NEAR_ENOUGH: f64 = 0.6;
    // Comparing costs the product of the lengths; long words are no typing errors.
    const LONGEST_BYTES: usize = 64;
    if word.len() > LONGEST_BYTES {
        return None;
    }
    let scored =
        known.into_iter().map(|each| (strsim::normalized_damerau_levenshtein(word, each), each));
    let best = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    (best.0 >= NEAR_ENOUGH).then_some(best.1)
}

/// Returns the end of a message that names the closest known word, or nothing.
pub(crate) fn hint<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    closest_word(word, known).map(|near| format!(", did you mean `{near}`?")).unwrap_or_default()
}
