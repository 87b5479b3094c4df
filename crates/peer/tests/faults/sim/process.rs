//! One process of the simulation.

use std::time::{Duration, Instant};

use vg_limit::RunKey;
use vg_peer::Membership;
use vg_peer::faults::PeerFaults;

#[derive(Debug)]
pub(crate) struct Process<F: PeerFaults> {
    pub(crate) membership: Membership<F>,
    pub(crate) paused: bool,
    pub(crate) leaving: bool,
    /// Attempts, with the time at which each of them finishes.
    pub(crate) attempts: Vec<(RunKey, Duration)>,
    /// When the process calls the store next.
    pub(crate) next_store: Duration,
    /// Rate of the process's clock, in thousandths of the rate of simulated time.
    pub(crate) rate: u32,
    /// What the process's clock shows at the start of simulated time.
    pub(crate) base: Instant,
}

impl<F: PeerFaults> Process<F> {
    /// Returns what the process's clock shows at a simulated time.
    pub(crate) fn now(&self, at: Duration) -> Instant {
        self.base + at * self.rate / 1000
    }

    pub(crate) fn finish_attempts(&mut self, at: Duration) {
        let done: Vec<RunKey> =
            self.attempts.iter().filter(|(_, end)| *end <= at).map(|(key, _)| *key).collect();
        self.attempts.retain(|(_, end)| *end > at);
        for key in done {
            self.membership.permits_mut().finish(key);
        }
    }

    /// Stops the dispatch of the pools that should be handed over.
    pub(crate) fn stop_released_pools(&mut self) {
        for pool in self.membership.view().pools_to_release() {
            self.membership.stop_dispatch(&pool);
        }
    }
}
