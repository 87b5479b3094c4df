//! The clock as an interface, so that tests advance time themselves.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

/// A source of monotonic and wall time.
///
/// Leases, deadlines and timeouts use [`Clock::now`] only. Wall time is for
/// people and for ordering events between processes.
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

/// A clock that stands still until it is advanced.
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
    /// Moves both times forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.lock() += step;
    }

    /// Returns the time since the clock was made.
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
