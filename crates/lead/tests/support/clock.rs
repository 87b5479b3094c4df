//! A clock that tests set forward.

use std::sync::{Arc, Mutex};

use vg_base::SystemClock;
use vg_base::prelude::*;

/// The clock of one host, which a test sets forward as if the process had been
/// suspended, or whose wall time alone it sets forward.
#[derive(Debug, Clone, Default)]
pub(crate) struct TestClock {
    suspended: Arc<Mutex<Duration>>,
    ahead: Arc<Mutex<Duration>>,
}

impl TestClock {
    pub(crate) fn suspend(&self, time: Duration) {
        *self.suspended.lock().unwrap() += time;
    }

    /// Sets the wall clock forward.
    pub(crate) fn set_forward(&self, time: Duration) {
        *self.ahead.lock().unwrap() += time;
    }
}

impl Clock for TestClock {
    fn now(&self) -> Instant {
        SystemClock.now() + *self.suspended.lock().unwrap()
    }

    fn wall(&self) -> SystemTime {
        SystemClock.wall() + *self.suspended.lock().unwrap() + *self.ahead.lock().unwrap()
    }
}
