//! Final answers to work that gets no slot.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why an item is refused. A refused item was never started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The team's part of the queue, or the whole queue, is in use.
    #[snafu(display("the queue is full, come back in {retry_after:?}"))]
    QueueFull {
        /// When a place is likely to be free.
        retry_after: Duration,
    },
    /// The work can't end by its deadline.
    #[snafu(display("the deadline cannot be met, come back in {retry_after:?}"))]
    CannotMeetDeadline {
        /// When work of the same queue is likely to meet its deadline again.
        retry_after: Duration,
    },
    /// The entry host stops accepting work.
    #[snafu(display("this entry host is stopping"))]
    Stopping,
    /// The queue or the team is not (or no longer) in the lists.
    #[snafu(display("the queue or the team is not configured"))]
    NotConfigured,
}

impl Refusal {
    /// Returns when the sender should come back, if that is known.
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
