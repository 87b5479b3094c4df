//! Reports about the work and health of hosts.

use vg_base::prelude::*;

/// A report about a host by the dispatcher of its pool and the health checks.
///
/// A host without a report counts as unreachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostReport {
    /// The host.
    pub host: HostId,
    /// Whether the host answers.
    pub up: bool,
    /// Current incarnation of the host. It changes with each reboot.
    pub boot: Incarnation,
    /// Number of calls and jobs that run on the host.
    pub running: u32,
    /// Estimated time until the host could be empty, because its work has ended or
    /// has been checkpointed.
    pub remaining: Duration,
    /// Version of the record for which the dispatcher has closed the host. The
    /// dispatcher starts no new work on it until the record changes.
    pub closed_version: Option<u64>,
    /// Version of the record for which enough probes have succeeded.
    pub verified_version: Option<u64>,
    /// The pool for which the host is set up.
    pub pool: Option<PoolId>,
}
