//! Settings of the etcd adapter.

use std::net::SocketAddr;
use std::time::Duration;

/// Addresses and timeouts of an [`EtcdStore`](crate::EtcdStore).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EtcdSettings {
    /// Addresses of the service. If the connection to one of them fails, the next one is
    /// tried.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one call, over all addresses.
    pub call_timeout: Duration,
    /// Timeout of the connection to one address.
    pub connect_timeout: Duration,
    /// A watch that has received nothing for this long is opened again. A connection that
    /// broke without notice looks the same as an idle connection.
    pub watch_idle: Duration,
}

impl EtcdSettings {
    /// Creates settings with the default timeouts.
    pub fn new(addresses: Vec<SocketAddr>) -> EtcdSettings {
        EtcdSettings {
            addresses,
            call_timeout: Duration::from_secs(3),
            connect_timeout: Duration::from_millis(500),
            watch_idle: Duration::from_secs(30),
        }
    }
}
