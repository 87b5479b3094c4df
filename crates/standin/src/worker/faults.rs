//! Fault injection for a worker.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use vg_base::prelude::*;
use vg_net::Gate;

/// Injects faults into one worker. Clones control the same worker.
#[derive(Debug, Clone, Default)]
pub struct WorkerFaults {
    shared: Arc<Shared>,
    gate: Gate,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    hangs: watch::Sender<bool>,
}

#[derive(Debug, Default)]
struct State {
    fails: bool,
    lag: Option<Duration>,
}

/// Body of `PUT /faults`, which replaces all faults; `{}` ends them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaultsRequest {
    /// Whether each new task fails immediately.
    pub fails: bool,
    /// Whether requests are not answered. Tasks continue to run.
    pub hangs: bool,
    /// Delay after which usage is reported, in milliseconds; by default the delay in
    /// the settings.
    pub lag_ms: Option<u64>,
    /// Whether new connections are closed without sending a byte.
    #[serde(rename = "shut")]
    pub closed: bool,
}

impl WorkerFaults {
    /// Sets whether each new task fails immediately.
    pub fn set_fails(&self, fails: bool) {
        self.lock().fails = fails;
    }

    /// Sets whether requests wait without an answer. Tasks continue to run, and their
    /// leases expire. Waiting requests are executed when the fault ends.
    pub fn set_hangs(&self, hangs: bool) {
        self.shared.hangs.send_replace(hangs);
    }

    /// Sets the delay after which usage is reported; `None` selects the delay in the
    /// settings.
    pub fn set_lag(&self, lag: Option<Duration>) {
        self.lock().lag = lag;
    }

    /// Sets whether new connections are closed without sending a byte.
    pub fn set_closed(&self, closed: bool) {
        self.gate.set_closed(closed);
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.apply(WorkerFaultsRequest::default());
    }

    /// Replaces the current faults with those of `request`.
    pub(crate) fn apply(&self, request: WorkerFaultsRequest) {
        self.set_fails(request.fails);
        self.set_hangs(request.hangs);
        self.set_lag(request.lag_ms.map(Duration::from_millis));
        self.set_closed(request.closed);
    }

    /// Returns whether each new task fails immediately.
    pub(crate) fn fails(&self) -> bool {
        self.lock().fails
    }

    /// Returns the delay after which usage is reported, if it was set.
    pub(crate) fn lag(&self) -> Option<Duration> {
        self.lock().lag
    }

    /// Waits while the fault that makes requests hang is active.
    pub(crate) async fn wait_while_hung(&self) {
        // Waiting fails only if the sender is dropped, and `self` keeps it alive.
        let _ = self.shared.hangs.subscribe().wait_for(|&hangs| !hangs).await;
    }

    /// Returns the gate that decides whether the server accepts connections.
    pub(crate) fn gate(&self) -> &Gate {
        &self.gate
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
