//! Bounds of the wall time that hold although the wall clock is set.

use std::time::{Instant, SystemTime};

use crate::Clock;

/// Wall time by two sources: the wall clock, and the monotonic clock since a first reading
/// of both.
///
/// The wall clock may be set while a process runs, and the monotonic clock does not advance
/// while the machine is suspended. Times that processes pass to each other are written as
/// the latest and compared with the earliest, so that a time is never thought to be over
/// because a clock was set.
#[derive(Debug, Clone, Copy)]
pub struct WallBounds {
    monotonic: Instant,
    wall: SystemTime,
}

impl WallBounds {
    /// Takes the first reading.
    pub fn new<C: Clock>(clock: &C) -> WallBounds {
        WallBounds { monotonic: clock.now(), wall: clock.wall() }
    }

    /// Returns the earlier of both times.
    pub fn earliest<C: Clock>(&self, clock: &C) -> SystemTime {
        clock.wall().min(self.steady(clock))
    }

    /// Returns the later of both times.
    pub fn latest<C: Clock>(&self, clock: &C) -> SystemTime {
        clock.wall().max(self.steady(clock))
    }

    fn steady<C: Clock>(&self, clock: &C) -> SystemTime {
        self.wall + clock.now().saturating_duration_since(self.monotonic)
    }
}
