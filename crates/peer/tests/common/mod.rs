//! Members and member records for tests.

use vg_base::prelude::*;
use vg_peer::{MemberRecord, MemberState};

pub(crate) fn member(node: &str, incarnation: u64) -> Member {
    Member { node: node.parse().unwrap(), incarnation: Incarnation(incarnation) }
}

pub(crate) fn record() -> MemberRecord {
    MemberRecord {
        peer_addr: ([127, 0, 0, 1], 7001).into(),
        call_addr: ([127, 0, 0, 1], 7000).into(),
        zone: "zone-a".parse().unwrap(),
        region: "region-a".parse().unwrap(),
        state: MemberState::Live,
    }
}
