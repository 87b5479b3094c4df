//! Rate limits of store calls.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::faulty::CallKind;

/// Length of the window in which calls are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of calls in a second. Further calls are refused without effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimits {
    /// Maximum number of calls that only read. Opening a watch counts as a read.
    pub reads: u32,
    /// Maximum number of transactions and lease calls.
    pub writes: u32,
}

/// Number of calls in the current window.
#[derive(Debug)]
pub(crate) struct RateWindow {
    rates: RateLimits,
    start: Instant,
    reads: u32,
    writes: u32,
}

impl RateWindow {
    /// Starts a window at `now`.
    pub(crate) fn new(rates: RateLimits, now: Instant) -> RateWindow {
        RateWindow { rates, start: now, reads: 0, writes: 0 }
    }

    /// Counts a call. Returns whether the call is within the limit; if not, it is not counted.
    pub(crate) fn admit(&mut self, call: CallKind, now: Instant) -> bool {
        if now.duration_since(self.start) >= RATE_WINDOW {
            *self = RateWindow::new(self.rates, now);
        }
        let (count, limit) = if call.is_write() {
            (&mut self.writes, self.rates.writes)
        } else {
            (&mut self.reads, self.rates.reads)
        };
        if *count >= limit {
            return false;
        }
        *count += 1;
        true
    }
}
