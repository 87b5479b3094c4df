//! What was sent, answered and run, with the time since the start of the traffic.

use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The lines of a record; clones share them.
#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    /// Starts an empty record.
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line.
    pub fn add(&self, line: impl Into<String>) {
        lock(&self.lines).push((Instant::now(), line.into()));
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut text = String::new();
        for (at, line) in lock(&self.lines).iter() {
            let _ = writeln!(text, "{:8.3} s  {line}", self.seconds(*at));
        }
        std::fs::write(path, text)
    }
}

/// Locks a mutex, also after a panic of another task.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
