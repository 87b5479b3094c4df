//! What hosts and dispatchers have to be told.

use vg_base::prelude::*;

/// An order that follows from a durable record.
///
/// Orders are given again until the record moves on, so carrying one out has to
/// be idempotent. `epoch` and `version` let a receiver refuse an order that a
/// paused planner sends late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostCommand {
    /// Start nothing new on the host, and report when this is closed.
    Close {
        /// The host.
        host: HostId,
        /// Version of the record.
        version: u64,
    },
    /// Reboot, if the host still runs under `boot`.
    Reboot {
        /// The host.
        host: HostId,
        /// The planner that orders it.
        epoch: Epoch,
        /// Version of the record.
        version: u64,
        /// The start that must end; a host with another one does nothing.
        boot: Incarnation,
    },
    /// Set the host up for a pool.
    SetUp {
        /// The host.
        host: HostId,
        /// Version of the record.
        version: u64,
        /// The pool.
        pool: PoolId,
    },
    /// Send probes to the host.
    Probe {
        /// The host.
        host: HostId,
    },
}
