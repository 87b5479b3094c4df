//! The guard of an active run.

use crate::runs::RunLog;

/// An active run. Dropping the guard records its end in the [`RunLog`].
#[derive(Debug)]
#[must_use]
pub struct RunGuard {
    log: RunLog,
    index: usize,
}

impl RunGuard {
    /// Creates the guard of the run at `index` of the log.
    pub(crate) fn new(log: RunLog, index: usize) -> RunGuard {
        RunGuard { log, index }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.log.record_end(self.index);
    }
}
