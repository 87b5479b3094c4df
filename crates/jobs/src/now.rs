//! The current time of a call.

use vg_base::prelude::*;

/// The current time on both clocks, read once for a whole call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time, for leases and time-outs.
    pub mono: Instant,
    /// Wall time, for data that is durable and outlives this process.
    pub wall: SystemTime,
}

impl Now {
    /// Reads a clock.
    pub fn read(clock: &impl Clock) -> Now {
        Now { mono: clock.now(), wall: clock.wall() }
    }
}
