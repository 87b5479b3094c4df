//! Limits of a server on connections and request headers.

use std::time::Duration;

/// Limits of a server on connections and request headers.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections. For a further one the connection that has
    /// waited longest for a request, a body or a reader is closed. If all are being
    /// served, the further one is answered with status 503 and closed.
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
    /// Time without a byte of an unfinished body after which it is refused, at the latest
    /// after twice this time.
    pub body_stall: Duration,
    /// Longest time from the headers to the end of a body.
    pub body_timeout: Duration,
    /// Longest time for which a client takes nothing of a response.
    pub write_stall: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_connections: 4096,
            max_header_bytes: 16 * 1024,
            max_headers: 64,
            idle_timeout: Duration::from_secs(60),
            body_stall: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            write_stall: Duration::from_secs(10),
        }
    }
}
