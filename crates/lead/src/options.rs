//! Options of a host.

use std::net::SocketAddr;

use vg_base::prelude::*;
use vg_flow::SchedulingRules;

/// Options of a host. They come from the settings of the surroundings.
#[derive(Debug, Clone)]
pub struct Options {
    /// The host's name.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its peers reach it.
    pub peer_addr: SocketAddr,
    /// Shortest lease that the store grants.
    pub min_lease: Duration,
    /// Times for decisions.
    pub rules: SchedulingRules,
    /// How long a job's end is kept.
    pub outcome_retention: Duration,
}

/// Lease of a host and of its leadership.
const LEASE: Duration = Duration::from_millis(1600);
/// Part of the lease after which it is renewed.
const RENEWALS: u32 = 4;

impl Options {
    /// Returns the time to live of the host's lease.
    pub(crate) fn lease(&self) -> Duration {
        LEASE.max(self.min_lease)
    }

    /// Returns the time between two renewals.
    pub(crate) fn renewal_period(&self) -> Duration {
        self.lease() / RENEWALS
    }
}
