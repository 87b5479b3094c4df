//! Ages that also count time in which the machine was suspended.

use vg_base::prelude::*;

/// A moment on both clocks.
///
/// The monotonic clock stands still while a machine is suspended, and wall time
/// may be set. The longer of the two ages is taken: a lease is then believed
/// for too short a time rather than for too long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Mark {
    mono: Instant,
    wall: SystemTime,
}

impl Mark {
    /// Returns the present moment.
    pub(crate) fn now<C: Clock>(clock: &C) -> Mark {
        Mark { mono: clock.now(), wall: clock.wall() }
    }

    /// Returns the time since this moment.
    pub(crate) fn age<C: Clock>(&self, clock: &C) -> Duration {
        let mono = clock.now().saturating_duration_since(self.mono);
        mono.max(clock.wall().duration_since(self.wall).unwrap_or_default())
    }
}
