//! Parsers of values, each with a description of what it accepts.

use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::ini::diagnostic::quoted;

/// Parses the value of a key and describes what is accepted.
///
/// This is a table of functions and no trait, because several keys parse the
/// same type in different ways.
#[derive(Debug, Clone, Copy)]
pub struct ValueParser<T> {
    /// What is accepted, worded as the end of a sentence.
    pub accepted: &'static str,
    /// Parses a value, or returns a message that says what is wrong with it.
    pub parse: fn(&str) -> Result<T, String>,
}

/// Parses a value by `FromStr` and reports the error of that type.
pub(crate) fn parse_from_str<T>(text: &str) -> Result<T, String>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    text.parse().map_err(|e| format!("{} is not valid: {e}", quoted(text)))
}

/// Parses items that are separated by commas, spaces or line breaks. No item
/// may be given twice.
pub(crate) fn parse_items<T>(text: &str) -> Result<Vec<T>, String>
where
    T: FromStr + PartialEq,
    T::Err: fmt::Display,
{
    let separator = |c: char| c == ',' || c.is_whitespace();
    let mut parsed_items = Vec::new();
    for item in text.split(separator).filter(|each| !each.is_empty()) {
        let parsed = parse_from_str(item)?;
        if parsed_items.contains(&parsed) {
            return Err(format!("{} is given twice", quoted(item)));
        }
        parsed_items.push(parsed);
    }
    Ok(parsed_items)
}

/// Returns the value of a keyword, or suggests the closest known keyword.
pub(crate) fn parse_keyword<T: Copy>(text: &str, known: &[(&str, T)]) -> Result<T, String> {
    if let Some((_, value)) = known.iter().find(|(word, _)| *word == text) {
        return Ok(*value);
    }
    let suggestion = super::suggestion(text, known.iter().map(|(word, _)| *word));
    Err(format!("{} is not known{suggestion}", quoted(text)))
}

/// Parses a whole number within a range.
pub(crate) fn parse_number<T>(text: &str, range: RangeInclusive<T>) -> Result<T, String>
where
    T: FromStr + PartialOrd,
{
    // `FromStr` accepts a leading sign, which is not documented.
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    let parsed = text.parse().ok().filter(|_| digits);
    let number: T =
        parsed.ok_or_else(|| format!("{} is not a whole number in range", quoted(text)))?;
    if range.contains(&number) {
        Ok(number)
    } else {
        Err(format!("{} is out of range", quoted(text)))
    }
}

/// Parses a duration of at least a millisecond.
pub(crate) fn parse_duration(text: &str) -> Result<std::time::Duration, String> {
    let duration =
        crate::duration::parse(text).map_err(|_| format!("{} is not a duration", quoted(text)))?;
    if duration.is_zero() {
        Err("a duration of zero is not allowed".to_owned())
    } else {
        Ok(duration)
    }
}
