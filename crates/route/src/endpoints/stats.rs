//! State of the endpoints as the table reports it.

use vg_base::prelude::*;

use super::Health;

/// State of one endpoint as the pool's owner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStats {
    /// The endpoint's host.
    pub host: HostId,
    /// The endpoint's availability zone.
    pub zone: ZoneId,
    /// Slots in use, including those of lost calls and of an earlier owner's calls.
    pub used: Slots,
    /// Number of open connections.
    pub connections: u32,
    /// Whether the endpoint gets no new calls because the host list shows it as
    /// leaving or no longer shows it.
    pub leaving: bool,
    /// Whether the endpoint is ejected because its calls failed.
    pub health: Health,
    /// Fraction of the recent calls that failed, from 0 to 1.
    pub failure_rate: f64,
}
