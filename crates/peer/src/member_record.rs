//! What the book knows of a member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// A member's addresses, place and state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where peers reach it.
    pub peer_addr: SocketAddr,
    /// Where callers reach it.
    pub call_addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its state.
    pub state: MemberState,
}

/// Whether a member holds rights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Takes part in everything.
    Live,
    /// Gives its rights away and gets no new ones.
    Leaving,
    /// Its rights pass to others; it never acts again.
    Fenced {
        /// Epoch of the book in which it was fenced.
        since: Epoch,
        /// Whether it has itself stated that it runs nothing any more.
        stopped: bool,
    },
}

impl MemberState {
    /// Whether the member is fenced.
    pub fn is_fenced(self) -> bool {
        matches!(self, MemberState::Fenced { .. })
    }

    /// Whether the member is fenced and has stated that it runs nothing.
    pub fn is_stopped(self) -> bool {
        matches!(self, MemberState::Fenced { stopped: true, .. })
    }
}
