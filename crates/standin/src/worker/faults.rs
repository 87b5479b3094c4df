//! The handle that steers a worker's faults.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use vg_base::prelude::*;
use vg_net::Gate;

/// Steers the faults of one worker; clones steer the same.
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

/// `PUT /faults`: replaces all faults; `{}` ends them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaultsRequest {
    /// Whether each task that starts fails at once.
    pub fails: bool,
    /// Whether requests get no answer; tasks go on.
    pub hangs: bool,
    /// How late usage is reported, if not as the settings say.
    pub lag_ms: Option<u64>,
    /// Whether new connections are closed without a byte.
    pub shut: bool,
}

impl WorkerFaults {
    /// Lets each task that starts fail at once, or ends that.
    pub fn set_fails(&self, fails: bool) {
        self.lock().fails = fails;
    }

    /// Lets requests wait without an answer, or ends that. Tasks go on, and
    /// their leases lapse; what waited is carried out late.
    pub fn set_hangs(&self, hangs: bool) {
        self.shared.hangs.send_replace(hangs);
    }

    /// Sets how late usage is reported, in place of the settings.
    pub fn set_lag(&self, lag: Option<Duration>) {
        self.lock().lag = lag;
    }

    /// Closes new connections without a byte, or ends that.
    pub fn set_shut(&self, shut: bool) {
        self.gate.set_closed(shut);
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.apply(WorkerFaultsRequest::default());
    }

    /// Puts these faults in place of the present ones.
    pub(crate) fn apply(&self, request: WorkerFaultsRequest) {
        self.set_fails(request.fails);
        self.set_hangs(request.hangs);
        self.set_lag(request.lag_ms.map(Duration::from_millis));
        self.set_shut(request.shut);
    }

    /// Whether tasks fail.
    pub(crate) fn fails(&self) -> bool {
        self.lock().fails
    }

    /// Returns how late usage is reported.
    pub(crate) fn lag(&self) -> Option<Duration> {
        self.lock().lag
    }

    /// Waits while requests hang.
    pub(crate) async fn pass(&self) {
        // The sender is part of this handle, so waiting can't fail.
        let _ = self.shared.hangs.subscribe().wait_for(|&hangs| !hangs).await;
    }

    /// Returns the gate before the server.
    pub(crate) fn gate(&self) -> &Gate {
        &self.gate
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
