//! Options of a host.

use std::net::SocketAddr;

use vg_base::prelude::*;
use vg_flow::SchedulingRules;
use vg_net::Budget;

use crate::HostCapacity;

/// Options of a host, which the platform adapter derives from its settings.
#[derive(Debug, Clone)]
pub struct Options {
    /// The host's name.
    pub node: NodeId,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// The address on which the host serves its peers.
    pub peer_addr: SocketAddr,
    /// Processor and link of the host.
    pub capacity: HostCapacity,
    /// What the clients of the process may hold, peers included.
    pub budget: Budget,
    /// Maximum number of connections of peers.
    pub max_peers: usize,
    /// Shortest lease that the store grants.
    pub min_lease: Duration,
    /// Time limits and rules for decisions.
    pub rules: SchedulingRules,
    /// How long the outcome of a finished job is kept.
    pub outcome_retention: Duration,
}

/// Time to live of the host's lease, which also covers its leadership. The
/// lease lasts longer if the store grants none this short.
const DEFAULT_LEASE_TTL: Duration = Duration::from_millis(1600);
/// Number of renewals per time to live.
const RENEWALS_PER_LEASE: u32 = 4;

impl Options {
    /// Returns the time to live of the host's lease.
    pub(crate) fn lease_ttl(&self) -> Duration {
        DEFAULT_LEASE_TTL.max(self.min_lease)
    }

    /// Returns the time between two renewals.
    pub(crate) fn renewal_period(&self) -> Duration {
        self.lease_ttl() / RENEWALS_PER_LEASE
    }
}
