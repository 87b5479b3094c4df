//! What a node is told at its start.

use std::net::SocketAddr;

use vg_base::prelude::*;
use vg_net::Limits;

/// Checked settings of one node.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the entry host.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Address for callers; port 0 takes any.
    pub listen: SocketAddr,
    /// Address for other entry hosts; port 0 takes any.
    pub peer_listen: SocketAddr,
    /// Address of the host list.
    pub host_list: SocketAddr,
    /// Most bytes of a call's body.
    pub max_body_bytes: usize,
    /// Limits on callers' connections and headers.
    pub limits: Limits,
    /// Time to live of the node's lease in the store.
    pub lease_ttl: Duration,
    /// Period of reading the host list.
    pub host_period: Duration,
    /// Longest time that a planned stop waits for running work.
    pub drain_timeout: Duration,
    /// Events kept in memory.
    pub event_capacity: usize,
}

impl Options {
    /// Default time to live of the lease.
    pub const LEASE_TTL: Duration = Duration::from_secs(3);
    /// Default period of reading the host list.
    pub const HOST_PERIOD: Duration = Duration::from_millis(500);
    /// Default limit on a body.
    pub const MAX_BODY_BYTES: usize = 1024 * 1024;
    /// Default longest wait of a planned stop.
    pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(40);
    /// Longest time that a call may take, whatever its queue's deadline is. Work
    /// that takes longer is a job. Times of membership rest on this bound.
    pub const CALL_MAX: Duration = Duration::from_secs(30);
    /// Default number of events kept.
    pub const EVENT_CAPACITY: usize = 20_000;
}
