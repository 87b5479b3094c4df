//! Settings of a worker.

use std::net::{Ipv4Addr, SocketAddr};

use vg_base::prelude::*;

use crate::worker::Capacity;

/// What a worker is started with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSettings {
    /// Name of the host.
    pub id: HostId,
    /// Address; port 0 takes any free port.
    pub addr: SocketAddr,
    /// What the worker has.
    pub capacity: Capacity,
    /// How late usage is reported.
    pub usage_lag: Duration,
}

impl WorkerSettings {
    /// Makes settings of a worker with 16 cores and 32 GB on any free port of
    /// loopback.
    pub fn new(id: HostId) -> WorkerSettings {
        WorkerSettings {
            id,
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            capacity: Capacity { cores: 16, memory: 32 * 1024, accelerators: 0 },
            usage_lag: Duration::from_secs(1),
        }
    }
}
