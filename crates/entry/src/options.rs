//! Options of a node.

use std::net::SocketAddr;

use vg_base::prelude::*;
use vg_net::{Budget, Limits};

/// The validated options of one node.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the entry host.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Address for callers. Port 0 selects any free port.
    pub listen: SocketAddr,
    /// Address for other entry hosts. Port 0 selects any free port.
    pub peer_listen: SocketAddr,
    /// Address of the host list.
    pub host_list: SocketAddr,
    /// Size limit for the body of a call.
    pub max_body_bytes: usize,
    /// Limits on callers' connections and headers.
    pub limits: Limits,
    /// Limits on the connections and headers of other entry hosts.
    pub peer_limits: Limits,
    /// What callers and other entry hosts may hold together.
    pub budget: Budget,
    /// Time to live of the node's lease in the store.
    pub lease_ttl: Duration,
    /// Interval at which the host list is read.
    pub host_period: Duration,
    /// Longest time for each step of a graceful stop, see [`NodeHandle::stop`].
    ///
    /// [`NodeHandle::stop`]: crate::NodeHandle::stop
    pub drain_timeout: Duration,
    /// Number of events that are kept in memory.
    pub event_capacity: usize,
}

impl Options {
    /// Default time to live of the lease.
    pub const LEASE_TTL: Duration = Duration::from_secs(3);
    /// Default interval at which the host list is read.
    pub const HOST_PERIOD: Duration = Duration::from_millis(500);
    /// Default size limit for a body: 1 MiB.
    pub const MAX_BODY_BYTES: usize = 1024 * 1024;
    /// Default drain timeout.
    pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(40);
    /// Longest time that a call may take, regardless of its queue's deadline. Work that
    /// takes longer must be submitted as a job. The timings of the membership rely on
    /// this limit.
    pub const CALL_MAX: Duration = Duration::from_secs(30);
    /// Default number of events that are kept in memory.
    pub const EVENT_CAPACITY: usize = 20_000;
}
