//! The cases that are scripts. Each returns what broke its rule.

mod late_polls;
mod other_kind;
mod overlapping;
mod same_token;
mod two_crashes;
mod unanswered_submit;

use crate::record::Record;

/// Runs a case by its name; `None` if there is none.
pub fn run(name: &str, record: &Record, trouble: bool) -> Option<Vec<String>> {
    match name {
        "overlapping" => Some(overlapping::run(record, trouble)),
        "other-kind" => Some(other_kind::run(record, trouble)),
        "late-polls" => Some(late_polls::run(record, trouble)),
        "same-token" => Some(same_token::run(record, trouble)),
        "two-crashes" => Some(two_crashes::run(record, trouble)),
        "unanswered-submit" => Some(unanswered_submit::run(record, trouble)),
        _ => None,
    }
}
