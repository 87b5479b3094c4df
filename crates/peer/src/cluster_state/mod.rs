//! The cluster state: the versioned value in the store that holds the members and their
//! rights.

mod apply;
mod codec;
mod pools;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_limit::PermitLedger;

use crate::{MemberRecord, MemberState, Ownership};

/// The members, and all rights that are assigned through the store: the ownership of
/// pools and the grants of permits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    /// Version of the cluster state; grows by one with each committed change.
    pub epoch: Epoch,
    /// Nodes of which a majority decides whether the store is out of reach.
    pub voters: BTreeSet<NodeId>,
    /// Epoch in which the voters last changed.
    pub voters_epoch: Epoch,
    /// All members; a fenced member stays until its permits are reclaimed.
    pub members: BTreeMap<Member, MemberRecord>,
    /// Latest incarnation of each node that has ever joined. It prevents a reclaimed
    /// member from joining again with permit counters that are already settled. Entries
    /// are never removed: there is one small entry for each node name ever used.
    #[serde(rename = "latest")]
    pub latest_incarnations: BTreeMap<NodeId, Incarnation>,
    /// Pools in the accepted lists.
    pub pools: BTreeSet<PoolId>,
    /// Owners of the pools.
    pub owners: BTreeMap<PoolId, Ownership>,
    /// Grants of permits.
    #[serde(rename = "units")]
    pub ledger: PermitLedger,
}

impl ClusterState {
    /// Returns the state of a member, or `None` if the member is unknown.
    pub fn member_state(&self, member: &Member) -> Option<MemberState> {
        self.members.get(member).map(|record| record.state)
    }

    /// Whether the member is in the cluster state and not fenced.
    pub fn is_active(&self, member: &Member) -> bool {
        self.member_state(member).is_some_and(|state| !state.is_fenced())
    }

    /// Whether the member has no rights and can never get any again: it was fenced or
    /// reclaimed, or it never joined and a later incarnation of its node has joined.
    pub fn is_retired(&self, member: &Member) -> bool {
        let latest = self.latest_incarnations.get(&member.node);
        let known = latest.is_some_and(|latest| *latest >= member.incarnation);
        known && !self.is_active(member)
    }

    /// Returns the members that are not fenced.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|(_, record)| !record.state.is_fenced())
            .map(|(member, _)| member)
    }

    /// Returns the live members, which may get new rights.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let live = |record: &MemberRecord| record.state == MemberState::Live;
        self.members.iter().filter(move |(_, record)| live(record)).map(|(member, _)| member)
    }

    /// Returns the epoch that a majority of the voters must have acknowledged before the
    /// rights of a fenced member may be reassigned; `None` if the member is not fenced.
    pub fn ack_epoch(&self, lost: &Member) -> Option<Epoch> {
        match self.member_state(lost)? {
            // The acknowledgements must come from the present voters, not from the voters
            // at the time of the fence: see the design page on membership.
            MemberState::Fenced { since, .. } => Some(since.max(self.voters_epoch)),
            _ => None,
        }
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
