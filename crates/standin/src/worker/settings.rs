//! Settings of a worker.

use std::net::{Ipv4Addr, SocketAddr};

use vg_base::prelude::*;

use crate::worker::Capacity;

/// Settings of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSettings {
    /// Name of the host.
    pub id: HostId,
    /// Address to listen on; port 0 selects any free port.
    pub addr: SocketAddr,
    /// Resources of the worker.
    pub capacity: Capacity,
    /// Delay after which a change of usage is reported.
    pub usage_lag: Duration,
}

impl WorkerSettings {
    /// Returns the settings of a worker with 16 cores and 32 GB of memory that listens
    /// on any free port of loopback.
    pub fn new(id: HostId) -> WorkerSettings {
        WorkerSettings {
            id,
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            capacity: Capacity { cores: 16, memory: 32 * 1024, accelerators: 0 },
            usage_lag: Duration::from_secs(1),
        }
    }
}
