//! Fault injection for an endpoint.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use vg_net::Gate;

use crate::endpoint::EndpointMode;

/// Injects faults into one endpoint. Clones control the same endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointFaults {
    state: Arc<Mutex<State>>,
    gate: Gate,
}

#[derive(Debug)]
struct State {
    mode: EndpointMode,
    script: VecDeque<EndpointMode>,
    slowness: u32,
}

impl Default for State {
    fn default() -> State {
        State { mode: EndpointMode::Serve, script: VecDeque::new(), slowness: 1 }
    }
}

/// Body of `PUT /vg-stand-in/faults`, which replaces all faults; `{}` ends them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaultsRequest {
    /// Mode of each request that `script` does not cover.
    pub mode: EndpointMode,
    /// Modes of the next requests, one per request.
    pub script: Vec<EndpointMode>,
    /// Factor on the run time of each request.
    pub slowness: u32,
    /// Whether new connections are closed without sending a byte.
    #[serde(rename = "shut")]
    pub closed: bool,
}

impl Default for EndpointFaultsRequest {
    fn default() -> EndpointFaultsRequest {
        EndpointFaultsRequest {
            mode: EndpointMode::Serve,
            script: Vec::new(),
            slowness: 1,
            closed: false,
        }
    }
}

impl EndpointFaults {
    /// Sets the mode of each request that is not scripted.
    pub fn set_mode(&self, mode: EndpointMode) {
        self.lock().mode = mode;
    }

    /// Appends the mode of `times` requests to the script, which applies to the next
    /// requests in order.
    pub fn script(&self, mode: EndpointMode, times: usize) {
        self.lock().script.extend(std::iter::repeat_n(mode, times));
    }

    /// Sets the factor on the run time of each request.
    pub fn set_slowness(&self, factor: u32) {
        self.lock().slowness = factor;
    }

    /// Sets whether new connections are closed without sending a byte.
    pub fn set_closed(&self, closed: bool) {
        self.gate.set_closed(closed);
    }

    /// Ends all faults.
    pub fn clear(&self) {
        self.apply(EndpointFaultsRequest::default());
    }

    /// Replaces the current faults with those of `request`.
    pub(crate) fn apply(&self, request: EndpointFaultsRequest) {
        let EndpointFaultsRequest { mode, script, slowness, closed } = request;
        *self.lock() = State { mode, script: script.into(), slowness };
        self.set_closed(closed);
    }

    /// Returns the mode of the next request and the factor on its run time, and
    /// removes the mode from the script.
    pub(crate) fn next(&self) -> (EndpointMode, u32) {
        let mut state = self.lock();
        let mode = state.script.pop_front().unwrap_or(state.mode);
        (mode, state.slowness)
    }

    /// Returns the gate that decides whether the server accepts connections.
    pub(crate) fn gate(&self) -> &Gate {
        &self.gate
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
