//! A gate before a server's accepted connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Decides whether accepted connections are served; clones are the same gate.
///
/// A shut gate closes new connections without a byte. Running ones go on.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    shut: Arc<AtomicBool>,
}

impl Gate {
    /// Shuts or opens the gate.
    pub fn set_closed(&self, shut: bool) {
        self.shut.store(shut, Ordering::Relaxed);
    }

    /// Whether new connections are closed.
    pub fn is_closed(&self) -> bool {
        self.shut.load(Ordering::Relaxed)
    }
}
