//! Changes of the book.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_limit::LedgerChange;

use crate::MemberRecord;

/// One change of the book.
///
/// What rests on time or on messages of others, such as that a member's lease
/// has lapsed, is the proposer's to know; the book checks all else.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transition {
    /// A member that has just started takes part. Commit it together with the
    /// member's leased key.
    Join {
        /// The member.
        member: Member,
        /// Its addresses and place; the state is set to live.
        record: MemberRecord,
    },
    /// A live member announces that it will stop.
    Leave {
        /// The member.
        member: Member,
    },
    /// A leaving member that owns no pool has stopped for good.
    Depart {
        /// The member.
        member: Member,
    },
    /// A member is lost: its leased key has vanished and stayed away.
    Fence {
        /// The member.
        dead: Member,
    },
    /// A fenced member's pools pass to live members.
    TakePools {
        /// The fenced member.
        dead: Member,
        /// The voters among whom a majority has acknowledged the fence.
        voters: Epoch,
    },
    /// The units of fenced members, whose last runs are over, become free.
    Reclaim {
        /// The fenced members.
        dead: BTreeSet<Member>,
        /// The voters among whom a majority has acknowledged the fences.
        voters: Epoch,
    },
    /// The accepted lists have other limits or pools.
    SetLists {
        /// Revision of the lists.
        revision: Revision,
        /// Upper limit by team.
        limits: BTreeMap<TeamId, Units>,
        /// All pools.
        pools: BTreeSet<PoolId>,
    },
    /// Gives every pool that needs one an owner, or a next owner.
    PlacePools,
    /// The owner has stopped dispatching a pool and hands it over.
    Release {
        /// The pool.
        pool: PoolId,
        /// Its owner.
        by: Member,
    },
    /// A member's own units change.
    Units(LedgerChange),
    /// Adds or removes one voter.
    StepVoters {
        /// The step.
        step: VoterStep,
        /// Epoch of the voters that a majority has acknowledged.
        after: Epoch,
    },
}

impl Transition {
    /// Returns the members that a set of changes fences: their leased keys
    /// must not exist when the changes are committed, since a member may have
    /// come back in between.
    pub fn guards(changes: &[Transition]) -> Vec<Member> {
        let fences = changes.iter().filter_map(|change| match change {
            Transition::Fence { dead } => Some(dead.clone()),
            _ => None,
        });
        fences.collect()
    }
}

/// A change of the voters by one node.
///
/// Majorities of sets that differ by one node have a node in common.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterStep {
    /// Adds a node.
    Add(NodeId),
    /// Removes a node.
    Remove(NodeId),
}
