//! Settings of the adapter.

use std::net::SocketAddr;
use std::time::Duration;

/// Addresses and times of an [`EtcdStore`](crate::EtcdStore).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EtcdSettings {
    /// Addresses of the service; the next one is tried when one can't be
    /// connected to.
    pub endpoints: Vec<SocketAddr>,
    /// Longest time of one call, over all addresses.
    pub call_timeout: Duration,
    /// Longest time to connect to one address.
    pub connect_timeout: Duration,
    /// A watch that has heard nothing for this long is opened anew, since a
    /// connection that died without a word looks the same.
    pub watch_idle: Duration,
}

impl EtcdSettings {
    /// Makes settings with the usual times.
    pub fn new(endpoints: Vec<SocketAddr>) -> EtcdSettings {
        EtcdSettings {
            endpoints,
            call_timeout: Duration::from_secs(3),
            connect_timeout: Duration::from_millis(500),
            watch_idle: Duration::from_secs(30),
        }
    }
}
