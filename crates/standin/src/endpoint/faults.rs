//! The handle that steers an endpoint's faults.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use vg_net::Gate;

use crate::endpoint::Mode;

/// Steers the faults of one endpoint; clones steer the same.
#[derive(Debug, Clone, Default)]
pub struct EndpointFaults {
    state: Arc<Mutex<State>>,
    gate: Gate,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    script: VecDeque<Mode>,
    slowness: u32,
}

impl Default for State {
    fn default() -> State {
        State { mode: Mode::Serve, script: VecDeque::new(), slowness: 1 }
    }
}

/// `PUT /vg-stand-in/faults`: replaces all faults; `{}` ends them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaultsRequest {
    /// What becomes of each request that is not scripted.
    pub mode: Mode,
    /// What becomes of the next requests.
    pub script: Vec<Mode>,
    /// Factor on the time of each run.
    pub slowness: u32,
    /// Whether new connections are closed without a byte.
    pub shut: bool,
}

impl Default for EndpointFaultsRequest {
    fn default() -> EndpointFaultsRequest {
        EndpointFaultsRequest { mode: Mode::Serve, script: Vec::new(), slowness: 1, shut: false }
    }
}

impl EndpointFaults {
    /// Sets what becomes of each request that is not scripted.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Sets what becomes of the next `times` requests, after those that are
    /// already scripted.
    pub fn script(&self, mode: Mode, times: usize) {
        self.lock().script.extend(std::iter::repeat_n(mode, times));
    }

    /// Sets a factor on the time of each run.
    pub fn set_slowness(&self, factor: u32) {
        self.lock().slowness = factor;
    }

    /// Closes new connections without a byte, or ends that.
    pub fn set_shut(&self, shut: bool) {
        self.gate.set_closed(shut);
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.apply(EndpointFaultsRequest::default());
    }

    /// Puts these faults in place of the present ones.
    pub(crate) fn apply(&self, request: EndpointFaultsRequest) {
        let EndpointFaultsRequest { mode, script, slowness, shut } = request;
        *self.lock() = State { mode, script: script.into(), slowness };
        self.set_shut(shut);
    }

    /// Returns what becomes of a request, and the factor on its time.
    pub(crate) fn next(&self) -> (Mode, u32) {
        let mut state = self.lock();
        let mode = state.script.pop_front().unwrap_or(state.mode);
        (mode, state.slowness)
    }

    /// Returns the gate before the server.
    pub(crate) fn gate(&self) -> &Gate {
        &self.gate
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
