//! Kinds of values: how each is parsed and what is accepted.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::ini::fault::quoted;

/// A kind of value.
///
/// A plain table of functions: one line a kind, and no trait for types that
/// several keys read differently.
#[derive(Debug, Clone, Copy)]
pub struct ValueParser<T> {
    /// What is accepted, as the end of a sentence.
    pub accepted: &'static str,
    /// Parses a value, or says what is wrong with it.
    pub parse: fn(&str) -> Result<T, String>,
}

/// Parses by `FromStr` and says what its error says.
pub(crate) fn words<T>(text: &str) -> Result<T, String>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    text.parse().map_err(|e| format!("{} is refused: {e}", quoted(text)))
}

/// Parses items separated by commas, spaces or line breaks.
pub(crate) fn items<T>(text: &str) -> Result<Vec<T>, String>
where
    T: FromStr + PartialEq,
    T::Err: fmt::Display,
{
    let separator = |c: char| c == ',' || c.is_whitespace();
    let mut found = Vec::new();
    for item in text.split(separator).filter(|each| !each.is_empty()) {
        let parsed = words(item)?;
        if found.contains(&parsed) {
            return Err(format!("{} is given twice", quoted(item)));
        }
        found.push(parsed);
    }
    Ok(found)
}

/// Picks one of a few words.
pub(crate) fn one_of<T: Copy>(text: &str, known: &[(&str, T)]) -> Result<T, String> {
    if let Some((_, value)) = known.iter().find(|(word, _)| *word == text) {
        return Ok(*value);
    }
    let hint = super::hint(text, known.iter().map(|(word, _)| *word));
    Err(format!("{} is not known{hint}", quoted(text)))
}

/// Parses a whole number within a range.
pub(crate) fn number<T>(text: &str, range: RangeInclusive<T>) -> Result<T, String>
where
    T: FromStr + PartialOrd,
{
    // `FromStr` would take a sign, which is not documented.
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    let parsed = text.parse().ok().filter(|_| digits);
    let number: T =
        parsed.ok_or_else(|| format!("{} is no whole number in range", quoted(text)))?;
    if range.contains(&number) {
        Ok(number)
    } else {
        Err(format!("{} is out of range", quoted(text)))
    }
}

/// Parses a length of time of at least a millisecond.
pub(crate) fn span(text: &str) -> Result<std::time::Duration, String> {
    let span = crate::duration::parse(text).map_err(|_| format!("{} is no time", quoted(text)))?;
    if span.is_zero() { Err("a time of zero is refused".to_owned()) } else { Ok(span) }
}
