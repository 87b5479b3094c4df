//! One process of the simulation.

use std::time::{Duration, Instant};

use vg_limit::RunKey;
use vg_peer::Membership;
use vg_peer::faults::PeerFaults;

#[derive(Debug)]
pub(crate) struct Process<F: PeerFaults> {
    pub(crate) node: Membership<F>,
    pub(crate) paused: bool,
    pub(crate) leaving: bool,
    /// Runs to be finished at a time.
    pub(crate) runs: Vec<(RunKey, Duration)>,
    /// When the process speaks to the store next.
    pub(crate) next_store: Duration,
    /// Clock rate in thousandths.
    pub(crate) rate: u32,
    pub(crate) base: Instant,
}

impl<F: PeerFaults> Process<F> {
    pub(crate) fn now(&self, at: Duration) -> Instant {
        self.base + at * self.rate / 1000
    }

    pub(crate) fn finish_runs(&mut self, at: Duration) {
        let done: Vec<RunKey> =
            self.runs.iter().filter(|(_, end)| *end <= at).map(|(key, _)| *key).collect();
        self.runs.retain(|(_, end)| *end > at);
        for key in done {
            self.node.permits_mut().finish(key);
        }
    }

    /// Stops pools that are to be handed over.
    pub(crate) fn stop_pools(&mut self) {
        for pool in self.node.view().pools_to_release() {
            self.node.stop_dispatch(&pool);
        }
    }
}
