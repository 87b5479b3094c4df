//! What is known of a host's work and health.

use vg_base::prelude::*;

/// What the dispatcher of a host's pool and the health checks say of it.
///
/// A host without a report is taken as unreachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostReport {
    /// The host.
    pub host: HostId,
    /// Whether it answers.
    pub up: bool,
    /// The start that it runs under.
    pub boot: Incarnation,
    /// Calls and jobs that run on it.
    pub running: u32,
    /// Estimate of the time until it could be empty, by an end or a checkpoint.
    pub remaining: Duration,
    /// Version of the record under which its dispatcher has closed it: no new
    /// work will be started until the record changes.
    pub closed_version: Option<u64>,
    /// Version of the record under which enough probes went well.
    pub verified_version: Option<u64>,
    /// The pool that it is set up for.
    pub pool: Option<PoolId>,
}
