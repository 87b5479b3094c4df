//! Limits on what one server takes from its clients.

use std::time::Duration;

/// Limits on connections and headers; each has its refusal.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections at once; one more is answered 503 and closed.
    pub connections: usize,
    /// Bytes of a request's line and headers; a longer one is answered 431.
    pub header_bytes: usize,
    /// Number of header fields; more are answered 431.
    pub header_count: usize,
    /// Time in which a request's headers must have come, idle time included.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 4096,
            header_bytes: 16 * 1024,
            header_count: 64,
            idle_time: Duration::from_secs(60),
        }
    }
}
