//! The record of a member in the cluster state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Addresses, location and state of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address for messages of peers.
    pub peer_addr: SocketAddr,
    /// Address for requests of callers.
    pub call_addr: SocketAddr,
    /// Availability zone of the member.
    pub zone: ZoneId,
    /// Region of the member.
    pub region: RegionId,
    /// Whether the member holds rights.
    pub state: MemberState,
}

/// Whether a member holds rights, and whether it may get new ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Holds rights and may get new ones.
    Live,
    /// Hands its rights over and gets no new ones.
    Leaving,
    /// Has lost its rights, which are reassigned; this incarnation never acts again.
    Fenced {
        /// Epoch of the cluster state in which the member was fenced.
        since: Epoch,
        /// Whether the member itself has reported that it no longer runs anything.
        stopped: bool,
    },
}

impl MemberState {
    /// Whether the member is fenced.
    pub fn is_fenced(self) -> bool {
        matches!(self, MemberState::Fenced { .. })
    }

    /// Whether the member is fenced and has reported that it runs nothing.
    pub fn is_stopped(self) -> bool {
        matches!(self, MemberState::Fenced { stopped: true, .. })
    }
}
