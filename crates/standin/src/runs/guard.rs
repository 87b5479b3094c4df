//! A running request.

use crate::runs::RunLog;

/// A run that goes on until this is dropped.
#[derive(Debug)]
#[must_use]
pub struct RunGuard {
    log: RunLog,
    index: usize,
}

impl RunGuard {
    /// Makes the guard of the run at `index`.
    pub(crate) fn new(log: RunLog, index: usize) -> RunGuard {
        RunGuard { log, index }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.log.end(self.index);
    }
}
