//! Divides the descriptors of a process among its listeners.

use derive_more::Display;

/// Descriptors that are not left to sockets.
const FILE_DESCRIPTORS: usize = 200;
/// Parts of the sockets, in percent. The rest is for calls of the process itself.
const CALLERS_PERCENT: usize = 50;
const PEERS_PERCENT: usize = 20;
const PROBES_PERCENT: usize = 2;
/// Fewest connections of a listener.
const CONNECTIONS_MIN: usize = 8;

/// Number of descriptors that a process may have open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Descriptors(pub usize);

impl Descriptors {
    /// Returns the number of connections for callers.
    pub fn callers(self) -> usize {
        self.share(CALLERS_PERCENT)
    }

    /// Returns the number of connections for peers.
    pub fn peers(self) -> usize {
        self.share(PEERS_PERCENT)
    }

    /// Returns the number of connections for each listener of readiness checks and metrics.
    pub fn probes(self) -> usize {
        self.share(PROBES_PERCENT)
    }

    fn share(self, percent: usize) -> usize {
        let sockets = self.0.saturating_sub(FILE_DESCRIPTORS);
        (sockets / 100 * percent + sockets % 100 * percent / 100).max(CONNECTIONS_MIN)
    }
}
