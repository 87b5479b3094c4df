//! State that the requests to an endpoint share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::RunLog;
use crate::endpoint::slots::SlotPool;
use crate::endpoint::{EndpointCounts, EndpointFaults, EndpointSettings};

/// Phase of an endpoint from its start to its end. Phases only advance, in this
/// order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The endpoint accepts and executes requests.
    #[default]
    Serving,
    /// The endpoint accepts nothing new and finishes its active runs.
    Stopping,
    /// The endpoint was killed, and its runs have ended early.
    Killed,
}

/// State that the requests to an endpoint share.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) settings: EndpointSettings,
    pub(crate) log: RunLog,
    pub(crate) faults: EndpointFaults,
    pub(crate) slots: SlotPool,
    pub(crate) phase: watch::Sender<Phase>,
    counts: Mutex<EndpointCounts>,
}

impl EndpointState {
    /// Creates the state of an endpoint in the phase [`Phase::Serving`].
    pub(crate) fn new(settings: EndpointSettings, log: RunLog) -> EndpointState {
        EndpointState {
            slots: SlotPool::new(settings.slots),
            settings,
            log,
            faults: EndpointFaults::default(),
            phase: watch::Sender::default(),
            counts: Mutex::default(),
        }
    }

    /// Locks the counters for reading or changing.
    pub(crate) fn counts(&self) -> MutexGuard<'_, EndpointCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the endpoint has reached this phase or a later one.
    pub(crate) async fn wait_for_phase(&self, phase: Phase) {
        // Waiting fails only if the sender is dropped, and `self` owns the sender.
        let _ = self.phase.subscribe().wait_for(|&current| current >= phase).await;
    }
}
