//! Commands to hosts and dispatchers.

use vg_base::prelude::*;

/// A command that follows from a durable record.
///
/// A command is sent repeatedly until the record changes, so its execution must
/// be idempotent. `epoch` and `version` let a receiver reject a command that a
/// paused planner sends late.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostCommand {
    /// Start no new work on the host, and report when the host is closed.
    Close {
        /// The host.
        host: HostId,
        /// Version of the host's record.
        version: u64,
    },
    /// Reboot the host if its incarnation is still `boot`.
    Reboot {
        /// The host.
        host: HostId,
        /// Epoch of the planner that wrote the record.
        epoch: Epoch,
        /// Version of the host's record.
        version: u64,
        /// The incarnation that the reboot ends. A host with another incarnation
        /// does nothing.
        boot: Incarnation,
    },
    /// Set the host up for a pool.
    SetUp {
        /// The host.
        host: HostId,
        /// Version of the host's record.
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
