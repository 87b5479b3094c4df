//! Settings of an endpoint.

use std::net::{Ipv4Addr, SocketAddr};

use vg_base::prelude::*;

/// Settings of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointSettings {
    /// Name of the host.
    pub id: HostId,
    /// Address to listen on; port 0 selects any free port.
    pub addr: SocketAddr,
    /// Maximum number of concurrent runs. A request beyond it is refused and counted.
    pub slots: Slots,
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Run time of a request that does not specify one.
    pub service_time: Duration,
}

impl EndpointSettings {
    /// Returns default settings that listen on any free port of loopback.
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
