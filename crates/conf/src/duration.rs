//! Lengths of time as text: a whole number and a unit, for instance `3800ms`.

use std::time::Duration;

use snafu::Snafu;

/// What is accepted as a length of time.
pub const ACCEPTED: &str = "a whole number with ms, s, m, h, d or w, up to 520w";

/// Longest accepted length of time.
pub const MAX: Duration = Duration::from_secs(520 * 7 * 24 * 60 * 60);

/// Units with their milliseconds, the largest first.
const UNITS: [(&str, u64); 6] = [
    ("w", 7 * 24 * 60 * 60 * 1000),
    ("d", 24 * 60 * 60 * 1000),
    ("h", 60 * 60 * 1000),
    ("m", 60 * 1000),
    ("s", 1000),
    ("ms", 1),
];

/// A text that is no length of time.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("not {ACCEPTED}"))]
pub struct DurationError;

/// Parses a length of time.
///
/// # Errors
///
/// [`DurationError`] without a unit, with an unknown one, or above [`MAX`].
pub fn parse(text: &str) -> Result<Duration, DurationError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| DurationError)?;
    let (_, millis) = UNITS.iter().find(|(name, _)| *name == unit).ok_or(DurationError)?;
    let span = number.checked_mul(*millis).map(Duration::from_millis).ok_or(DurationError)?;
    if span > MAX { Err(DurationError) } else { Ok(span) }
}

/// Writes a length of time in the largest unit that gives a whole number.
///
/// Fractions of a millisecond are dropped; [`parse`] gives none.
pub fn format(span: Duration) -> String {
    let total = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    let whole = |(_, millis): &&(&str, u64)| total >= *millis && total.is_multiple_of(*millis);
    match UNITS.iter().find(whole) {
        Some((unit, millis)) => format!("{}{unit}", total / millis),
        None => "0s".to_owned(),
    }
}
