//! A switch that makes a server close new connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Decides whether a server serves the connections that it accepts. Clones share
/// the state.
///
/// While the gate is closed, the server closes each new connection without
/// writing a byte. Established connections are not affected.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    closed: Arc<AtomicBool>,
}

impl Gate {
    /// Closes or opens the gate.
    pub fn set_closed(&self, closed: bool) {
        self.closed.store(closed, Ordering::Relaxed);
    }

    /// Returns whether new connections are closed.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}
