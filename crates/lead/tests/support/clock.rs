//! A clock that tests set forward.

use std::sync::{Arc, Mutex};

use vg_base::SystemClock;
use vg_base::prelude::*;

/// The clock of one host, which a test sets forward as if the process had been
/// suspended.
#[derive(Debug, Clone, Default)]
pub(crate) struct TestClock {
    suspended: Arc<Mutex<Duration>>,
}

impl TestClock {
    pub(crate) fn suspend(&self, time: Duration) {
        *self.suspended.lock().unwrap() += time;
    }
}

impl Clock for TestClock {
    fn now(&self) -> Instant {
        SystemClock.now() + *self.suspended.lock().unwrap()
    }

    fn wall(&self) -> SystemTime {
        SystemClock.wall() + *self.suspended.lock().unwrap()
    }
}
