//! Slots of endpoints.

use std::net::SocketAddr;

use slotmap::new_key_type;
use vg_base::prelude::*;

new_key_type! {
    /// Identifies an endpoint in the table of its pool.
    pub struct EndpointKey;
    /// Identifies one use of a slot.
    pub struct SlotKey;
}

/// A slot of an endpoint, which is occupied by one call until it is released with
/// [`Endpoints::release`](super::Endpoints::release).
#[derive(Debug, PartialEq, Eq)]
pub struct Slot {
    /// Identifies this use of the slot.
    pub key: SlotKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The host on which the endpoint runs.
    pub host: HostId,
    /// Address to which calls are sent.
    pub addr: SocketAddr,
}

/// Whether a call may be the probe of an ejected endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbePolicy {
    /// The call may be a probe, since it may run again elsewhere without harm.
    Allowed,
    /// The call should go to a healthy endpoint. It is a probe only if no other call
    /// has probed the endpoint for as long as the next ejection would last.
    Avoided,
}
