//! State that an endpoint's requests share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::RunLog;
use crate::endpoint::slots::SlotPool;
use crate::endpoint::{EndpointCounts, EndpointFaults, EndpointSettings};

/// How far the endpoint is on its way out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It serves.
    #[default]
    Serving,
    /// It finishes what runs.
    Stopping,
    /// It is dead; runs have ended where they were.
    Killed,
}

/// State that an endpoint's requests share.
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
    /// Makes the state of an endpoint that serves.
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

    /// Returns the counts for reading or changing.
    pub(crate) fn counts(&self) -> MutexGuard<'_, EndpointCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the endpoint is at least in this phase.
    pub(crate) async fn reached(&self, phase: Phase) {
        // The sender is part of the state, so waiting can't fail.
        let _ = self.phase.subscribe().wait_for(|&now| now >= phase).await;
    }
}
