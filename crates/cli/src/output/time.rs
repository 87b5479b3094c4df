//! Rendering of wall-clock times.

const MICROS_PER_SECOND: u64 = 1_000_000;
const SECONDS_PER_DAY: u64 = 24 * 60 * 60;

/// Renders milliseconds since the Unix epoch in UTC, truncated to seconds.
pub(crate) fn utc(millis: u64) -> String {
    let (date, clock) = split(millis / 1000);
    format!("{date}T{clock}Z")
}

/// Renders microseconds since the Unix epoch in UTC.
pub(crate) fn utc_micros(micros: u64) -> String {
    let (date, clock) = split(micros / MICROS_PER_SECOND);
    format!("{date}T{clock}.{:06}Z", micros % MICROS_PER_SECOND)
}

fn split(seconds: u64) -> (String, String) {
    let (year, month, day) = date(seconds / SECONDS_PER_DAY);
    let clock = seconds % SECONDS_PER_DAY;
    let (hours, minutes, secs) = (clock / 3600, clock / 60 % 60, clock % 60);
    (format!("{year:04}-{month:02}-{day:02}"), format!("{hours:02}:{minutes:02}:{secs:02}"))
}

/// Returns the Gregorian year, month and day for a number of days since the Unix
/// epoch. The algorithm is from Howard Hinnant, "chrono-Compatible Low-Level Date
/// Algorithms".
fn date(days: u64) -> (u64, u64, u64) {
    let shifted = days + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    (year + era * 400 + u64::from(month <= 2), month, day)
}
