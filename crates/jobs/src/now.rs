//! The time of a step.

use vg_base::prelude::*;

/// The time of a step, read once for all of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time, for leases and waits.
    pub mono: Instant,
    /// Wall time, for what is durable and outlives this process.
    pub wall: SystemTime,
}

impl Now {
    /// Reads a clock.
    pub fn read(clock: &impl Clock) -> Now {
        Now { mono: clock.now(), wall: clock.wall() }
    }
}
