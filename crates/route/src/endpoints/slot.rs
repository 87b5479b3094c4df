//! The right to run one call at an endpoint.

use std::net::SocketAddr;

use slotmap::new_key_type;
use vg_base::prelude::*;

new_key_type! {
    /// An endpoint in the table of its pool.
    pub struct EndpointKey;
    /// One use of a slot.
    pub struct SlotKey;
}

/// The right to run one call at an endpoint, until it is released.
#[derive(Debug, PartialEq, Eq)]
pub struct Slot {
    /// This use of the slot.
    pub key: SlotKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The host that it runs on.
    pub host: HostId,
    /// Where it takes calls.
    pub addr: SocketAddr,
}

/// Whether a call may test an endpoint that failed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbePolicy {
    /// The call may run again elsewhere without harm.
    Allowed,
    /// The call should go to a healthy endpoint. It tests one only if no other
    /// call has done so for long.
    Avoided,
}
