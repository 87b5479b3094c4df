//! Reasons for which work is refused.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why an item is refused. A refused item was never started, and the refusal is
/// final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The queue is full, or the team has as many items in it as it may.
    #[snafu(display("the queue is full, come back in {retry_after:?}"))]
    QueueFull {
        /// Time after which a place is likely to be free.
        retry_after: Duration,
    },
    /// The work cannot end by its deadline.
    #[snafu(display("the deadline cannot be met, come back in {retry_after:?}"))]
    CannotMeetDeadline {
        /// Time after which work of the same team is likely to meet its deadline.
        retry_after: Duration,
    },
    /// The entry host is stopping and accepts no work.
    #[snafu(display("this entry host is stopping"))]
    Stopping,
    /// The operators' lists do not name the queue or the team.
    #[snafu(display("the queue or the team is not configured"))]
    NotConfigured,
}

impl Refusal {
    /// Returns the time after which the sender should retry, if it is known. It is
    /// zero when another entry host accepts the work.
    pub fn retry_after(&self) -> Option<Duration> {
        match *self {
            Refusal::QueueFull { retry_after } | Refusal::CannotMeetDeadline { retry_after } => {
                Some(retry_after)
            }
            Refusal::Stopping => Some(Duration::ZERO),
            Refusal::NotConfigured => None,
        }
    }
}
