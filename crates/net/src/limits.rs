//! Limits of a server on connections and request headers.

use std::time::Duration;

/// Limits of a server on connections and request headers.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections. A further connection is answered with
    /// status 503 and closed.
    pub max_connections: usize,
    /// Maximum size of the request line and headers in bytes, with a minimum of
    /// 8192. A longer request is answered with status 431.
    pub max_header_bytes: usize,
    /// Maximum number of header fields. A request with more fields is answered
    /// with status 431.
    pub max_headers: usize,
    /// Time within which the headers of the next request must arrive. It includes
    /// the time during which the connection is idle.
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
