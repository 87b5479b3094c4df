//! A point in time that also accounts for time in which the machine was
//! suspended.

use std::time::{Duration, Instant, SystemTime};

use crate::Clock;

/// A reading of the monotonic clock and of wall time.
///
/// The monotonic clock does not advance while a machine is suspended, and wall
/// time may be set by hand. The age is the longer of the two differences, so
/// that a lease is trusted for too short a time rather than for too long.
#[derive(Debug, Clone, Copy)]
pub struct DualInstant {
    monotonic: Instant,
    wall: SystemTime,
}

impl DualInstant {
    /// Reads both clocks.
    pub fn now<C: Clock>(clock: &C) -> DualInstant {
        DualInstant { monotonic: clock.now(), wall: clock.wall() }
    }

    /// Returns the time elapsed since this reading: the longer of the monotonic
    /// and the wall-clock difference.
    pub fn age<C: Clock>(&self, clock: &C) -> Duration {
        let monotonic = clock.now().saturating_duration_since(self.monotonic);
        monotonic.max(clock.wall().duration_since(self.wall).unwrap_or_default())
    }
}
