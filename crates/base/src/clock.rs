//! The [`Clock`] trait with the system clock and a clock that tests advance.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall time.
///
/// Leases, deadlines and timeouts use [`Clock::now`] only. Wall time is shown to
/// people and orders events of different processes.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall time.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests. Its time changes only by [`ManualClock::advance`]; clones
/// share the time.
#[derive(Debug, Clone)]
pub struct ManualClock {
    start: (Instant, SystemTime),
    elapsed: Arc<Mutex<Duration>>,
}

impl Default for ManualClock {
    fn default() -> ManualClock {
        ManualClock { start: (Instant::now(), SystemTime::UNIX_EPOCH), elapsed: Arc::default() }
    }
}

impl ManualClock {
    /// Moves the monotonic time and the wall time forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.lock() += step;
    }

    /// Returns the sum of all advances since the clock was created.
    pub fn elapsed(&self) -> Duration {
        *self.lock()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Duration> {
        self.elapsed.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start.0 + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.start.1 + self.elapsed()
    }
}
