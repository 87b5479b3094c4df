//! Settings of an endpoint.

use std::net::{Ipv4Addr, SocketAddr};

use vg_base::prelude::*;

/// What an endpoint is started with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Name of the host.
    pub id: HostId,
    /// Address; port 0 takes any free port.
    pub addr: SocketAddr,
    /// Requests that may run at once; one more is refused and counted.
    pub slots: Slots,
    /// Connections at once.
    pub max_connections: usize,
    /// How long a request runs that does not say so itself.
    pub service_time: Duration,
}

impl EndpointSettings {
    /// Makes settings for any free port of loopback.
    pub fn new(id: HostId) -> EndpointSettings {
        EndpointSettings {
            id,
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: Slots(8),
            max_connections: 64,
            service_time: Duration::from_millis(20),
        }
    }
}
