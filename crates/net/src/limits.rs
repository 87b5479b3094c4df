//! Limits on what one server takes from its clients.

use std::time::Duration;

/// Limits on connections and headers; each has its refusal.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections at once; one more is answered 503 and closed.
    pub max_connections: usize,
    /// Bytes of a request's line and headers; a longer one is answered 431.
    pub max_header_bytes: usize,
    /// Number of header fields; more are answered 431.
    pub max_headers: usize,
    /// Time in which a request's headers must have come, idle time included.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 4096,
            max_header_bytes: 16 * 1024,
            max_headers: 64,
            idle_timeout: Duration::from_secs(60),
        }
    }
}
