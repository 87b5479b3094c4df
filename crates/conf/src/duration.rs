//! Durations as text: a whole number and a unit, for instance `3800ms`.

use std::time::Duration;

use snafu::Snafu;

/// What [`parse`] accepts, worded as the end of a sentence.
pub const ACCEPTED: &str = "a whole number with ms, s, m, h, d or w, up to 520w";

/// Longest accepted duration.
pub const MAX: Duration = Duration::from_secs(520 * 7 * 24 * 60 * 60);

/// Units with their lengths in milliseconds, the largest first.
const UNITS: [(&str, u64); 6] = [
    ("w", 7 * 24 * 60 * 60 * 1000),
    ("d", 24 * 60 * 60 * 1000),
    ("h", 60 * 60 * 1000),
    ("m", 60 * 1000),
    ("s", 1000),
    ("ms", 1),
];

/// The error for a text that is not a duration.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("not {ACCEPTED}"))]
pub struct DurationError;

/// Parses a duration.
///
/// # Errors
///
/// Returns [`DurationError`] if the unit is missing or unknown, or if the duration
/// exceeds [`MAX`].
pub fn parse(text: &str) -> Result<Duration, DurationError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| DurationError)?;
    let (_, millis) = UNITS.iter().find(|(name, _)| *name == unit).ok_or(DurationError)?;
    let duration = number.checked_mul(*millis).map(Duration::from_millis).ok_or(DurationError)?;
    if duration > MAX { Err(DurationError) } else { Ok(duration) }
}

/// Renders a duration in the largest unit that gives a whole number.
///
/// Fractions of a millisecond are dropped; [`parse`] never returns any.
pub fn format(duration: Duration) -> String {
    let total_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let divides =
        |(_, millis): &&(&str, u64)| total_ms >= *millis && total_ms.is_multiple_of(*millis);
    match UNITS.iter().find(divides) {
        Some((unit, millis)) => format!("{}{unit}", total_ms / millis),
        None => "0s".to_owned(),
    }
}
