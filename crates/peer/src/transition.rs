//! Changes of the cluster state.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_limit::LedgerChange;

use crate::MemberRecord;

/// One change of the cluster state.
///
/// The proposer is responsible for the conditions that depend on time or on messages of
/// peers, for example that the lease of a member has expired. The cluster state checks
/// all other conditions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transition {
    /// A member that has just started joins. The commit must also write the leased key of
    /// the member.
    Join {
        /// The member.
        member: Member,
        /// Addresses and location of the member; the state is set to [`MemberState::Live`].
        ///
        /// [`MemberState::Live`]: crate::MemberState::Live
        record: MemberRecord,
    },
    /// A live member announces that it will stop.
    Leave {
        /// The member.
        member: Member,
    },
    /// A leaving member that owns no pool has stopped and never acts again.
    Depart {
        /// The member.
        member: Member,
    },
    /// Fences a lost member: its leased key has been absent for
    /// [`Timing::fence_delay`](crate::Timing::fence_delay).
    Fence {
        /// The lost member.
        #[serde(rename = "dead")]
        lost: Member,
    },
    /// Reassigns the pools of a fenced member to live members.
    #[serde(rename = "TakePools")]
    ReassignPools {
        /// The fenced member.
        #[serde(rename = "dead")]
        lost: Member,
        /// Epoch of the voters of which a majority has acknowledged the fence.
        #[serde(rename = "voters")]
        voters_epoch: Epoch,
    },
    /// Frees the permits of fenced members whose last attempts have finished.
    Reclaim {
        /// The fenced members.
        #[serde(rename = "dead")]
        lost: BTreeSet<Member>,
        /// Epoch of the voters of which a majority has acknowledged the fences.
        #[serde(rename = "voters")]
        voters_epoch: Epoch,
    },
    /// Takes over the limits and pools of newly accepted lists.
    SetLists {
        /// Revision of the lists.
        revision: Revision,
        /// Upper limit of each team, in permits.
        limits: BTreeMap<TeamId, Permits>,
        /// All pools.
        pools: BTreeSet<PoolId>,
    },
    /// Assigns an owner, or a successor of the owner, to every pool that needs one.
    #[serde(rename = "PlacePools")]
    AssignPools,
    /// The owner has stopped dispatching a pool and hands it over.
    Release {
        /// The pool.
        pool: PoolId,
        /// The owner of the pool.
        by: Member,
    },
    /// Changes the permits of the member that proposes the transition.
    #[serde(rename = "Units")]
    Ledger(LedgerChange),
    /// Adds or removes one voter.
    #[serde(rename = "StepVoters")]
    ChangeVoters {
        /// The change.
        #[serde(rename = "step")]
        change: VoterChange,
        /// Epoch of the present voters, which a majority of them has acknowledged.
        #[serde(rename = "after")]
        voters_epoch: Epoch,
    },
}

impl Transition {
    /// Returns the members that a set of transitions fences.
    ///
    /// The commit must require that the leased keys of these members don't exist, since
    /// a member may have come back after the transition was proposed.
    pub fn fenced_members(transitions: &[Transition]) -> Vec<Member> {
        let fences = transitions.iter().filter_map(|transition| match transition {
            Transition::Fence { lost } => Some(lost.clone()),
            _ => None,
        });
        fences.collect()
    }
}

/// A change of the voters by one node.
///
/// Any majority of the old voters and any majority of the new voters have a node in
/// common, since the two sets differ by one node only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterChange {
    /// Adds a node.
    Add(NodeId),
    /// Removes a node.
    Remove(NodeId),
}
