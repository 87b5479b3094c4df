//! The one value in the store that holds members and rights.

mod apply;
mod codec;
mod pools;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_limit::PermitLedger;

use crate::{MemberRecord, MemberState, Ownership};

/// The members and every right that moves by the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// Grows by one with each committed change.
    pub epoch: Epoch,
    /// Nodes whose majority decides whether the store is out of reach.
    pub voters: BTreeSet<NodeId>,
    /// Epoch in which the voters changed last.
    pub voters_epoch: Epoch,
    /// Members, also fenced ones until their units are reclaimed.
    pub members: BTreeMap<Member, MemberRecord>,
    /// Latest incarnation of each node that ever joined: a reclaimed member
    /// can't join again and bring back counters that are settled. One small
    /// entry for each name that was ever in use.
    pub latest: BTreeMap<NodeId, Incarnation>,
    /// Pools of the accepted lists.
    pub pools: BTreeSet<PoolId>,
    /// Owners of pools.
    pub owners: BTreeMap<PoolId, Ownership>,
    /// Grants of units.
    pub units: PermitLedger,
}

impl Book {
    /// Returns a member's state.
    pub fn state(&self, member: &Member) -> Option<MemberState> {
        self.members.get(member).map(|record| record.state)
    }

    /// Whether the member is in the book and not fenced.
    pub fn holds_rights(&self, member: &Member) -> bool {
        self.state(member).is_some_and(|state| !state.is_fenced())
    }

    /// Whether the member has no rights and never gets any again.
    pub fn is_over(&self, member: &Member) -> bool {
        let latest = self.latest.get(&member.node);
        let known = latest.is_some_and(|latest| *latest >= member.incarnation);
        known && !self.holds_rights(member)
    }

    /// Returns the members that are not fenced.
    pub fn active(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|(_, record)| !record.state.is_fenced()).map(|(each, _)| each)
    }

    /// Returns the members that may get new rights.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let live = |record: &MemberRecord| record.state == MemberState::Live;
        self.members.iter().filter(move |(_, record)| live(record)).map(|(each, _)| each)
    }

    /// Returns the epoch that a majority of voters has to know before the
    /// rights of a fenced member may pass.
    pub fn passing_epoch(&self, dead: &Member) -> Option<Epoch> {
        match self.state(dead)? {
            // The latest voters have to know it, not those of the time of the
            // fence: see the design page on membership.
            MemberState::Fenced { since, .. } => Some(since.max(self.voters_epoch)),
            _ => None,
        }
    }

    /// Returns how many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
