//! Limits on the rate of calls.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::faulty::CallKind;

/// Length of the window in which calls are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Most calls a second; one more is refused without effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimits {
    /// Reads; opening a watch is one of them.
    pub reads: u32,
    /// Transactions and lease calls.
    pub writes: u32,
}

/// Calls in the present window.
#[derive(Debug)]
pub(crate) struct RateWindow {
    rates: RateLimits,
    since: Instant,
    reads: u32,
    writes: u32,
}

impl RateWindow {
    /// Starts a window.
    pub(crate) fn new(rates: RateLimits, now: Instant) -> RateWindow {
        RateWindow { rates, since: now, reads: 0, writes: 0 }
    }

    /// Counts a call; returns whether it is within the limit.
    pub(crate) fn admit(&mut self, call: CallKind, now: Instant) -> bool {
        if now.duration_since(self.since) >= WINDOW {
            *self = RateWindow::new(self.rates, now);
        }
        let (count, most) = if call.is_write() {
            (&mut self.writes, self.rates.writes)
        } else {
            (&mut self.reads, self.rates.reads)
        };
        if *count >= most {
            return false;
        }
        *count += 1;
        true
    }
}
