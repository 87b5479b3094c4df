//! Transitions of the cluster state that this member should propose.

use std::collections::BTreeSet;

use vg_base::prelude::*;

use super::View;
use crate::faults::PeerFaults;
use crate::{Transition, VoterChange};

impl<F: PeerFaults> View<F> {
    /// Returns the due transitions for which this member's turn to propose has come.
    ///
    /// The first live member proposes a transition immediately. The others follow one by one
    /// if the transition is still due, so that they don't all write to the store at the same
    /// time.
    pub fn due_transitions(&mut self, now: Instant) -> Vec<Transition> {
        if !self.cluster_state.is_active(&self.me) {
            return Vec::new();
        }
        self.refresh_majority_acks(now);
        let mut proposals = self.fences_due(now);
        proposals.extend(self.reassignments_due(now));
        proposals.extend(self.reclaims_due(now));
        proposals.extend(self.cluster_state.needs_assignment().then_some(Transition::AssignPools));
        proposals.extend(self.voter_change_due());
        self.in_turn(now, proposals)
    }

    /// Returns the proposals that have been due for long enough for this member's turn.
    fn in_turn(&mut self, now: Instant, proposals: Vec<Transition>) -> Vec<Transition> {
        let known = std::mem::take(&mut self.due_since);
        for each in proposals {
            let since = known.iter().find(|(other, _)| *other == each);
            let since = since.map_or(now, |(_, since)| *since);
            self.due_since.push((each, since));
        }
        let turn = self.timing.proposal_stagger * self.rank(now);
        let ready = self.due_since.iter().filter(|(_, since)| now >= *since + turn);
        ready.map(|(each, _)| each.clone()).collect()
    }

    /// Returns the number of live members that come before this one and were heard recently.
    fn rank(&self, now: Instant) -> u32 {
        let before = self.cluster_state.live().take_while(|member| **member != self.me);
        let count = before.filter(|member| self.is_heard_recently(now, member)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the fences of members whose leased key was absent for the fence delay.
    fn fences_due(&self, now: Instant) -> Vec<Transition> {
        // An outdated reading doesn't show which keys exist now.
        if self.keys_read.is_none_or(|at| now >= at + self.timing.contact_timeout) {
            return Vec::new();
        }
        let fence_delay = if F::FENCE_AT_ONCE { Duration::ZERO } else { self.timing.fence_delay };
        let absent = self.absent.iter().filter(|(_, since)| now >= **since + fence_delay);
        let absent = absent
            .filter(|(member, _)| **member != self.me && self.cluster_state.is_active(member));
        absent.map(|(lost, _)| Transition::Fence { lost: lost.clone() }).collect()
    }

    /// Returns the reassignments of the pools of fenced members.
    fn reassignments_due(&self, now: Instant) -> Vec<Transition> {
        let owners: BTreeSet<&Member> =
            self.cluster_state.owners.values().map(|ownership| &ownership.owner).collect();
        let reassignable = owners.into_iter().filter(|owner| self.may_reassign(now, owner));
        let voters_epoch = self.cluster_state.voters_epoch;
        reassignable
            .map(|lost| Transition::ReassignPools { lost: lost.clone(), voters_epoch })
            .collect()
    }

    /// Returns the reclaims of fenced members that own no pools and whose attempts have
    /// finished. Members with linked accounts are reclaimed together.
    fn reclaims_due(&self, now: Instant) -> Vec<Transition> {
        let owns_pool = |member: &Member| {
            self.cluster_state.owners.values().any(|ownership| ownership.owner == *member)
        };
        let is_finished =
            |member: &Member| self.attempts_finished(now, member) && !owns_pool(member);
        let mut found = Vec::new();
        let mut seen = BTreeSet::new();
        for lost in self.fenced_since.keys() {
            if seen.contains(lost) || !is_finished(lost) {
                continue;
            }
            let linked = if F::RECLAIM_ALONE {
                BTreeSet::from([lost.clone()])
            } else {
                self.cluster_state.ledger.linked_accounts(lost)
            };
            seen.extend(linked.iter().cloned());
            if linked.iter().all(|each| !self.cluster_state.is_active(each) && is_finished(each)) {
                found.push(Transition::Reclaim {
                    lost: linked,
                    voters_epoch: self.cluster_state.voters_epoch,
                });
            }
        }
        found
    }

    /// Returns the next change that brings the voters closer to the nodes of the members.
    ///
    /// The voters change one node at a time, and only after a majority of the present voters
    /// has acknowledged the previous change.
    fn voter_change_due(&self) -> Option<Transition> {
        let cluster_state = &self.cluster_state;
        if !self.majority_acknowledged(cluster_state.voters_epoch, None) {
            return None;
        }
        let joined = cluster_state
            .live()
            .map(|member| &member.node)
            .find(|node| !cluster_state.voters.contains(*node));
        let removed = || {
            let has_member =
                |node: &NodeId| cluster_state.members.keys().any(|member| member.node == *node);
            cluster_state.voters.iter().find(|node| !has_member(node))
        };
        let add = joined.cloned().map(VoterChange::Add);
        let change = add.or_else(|| removed().cloned().map(VoterChange::Remove))?;
        Some(Transition::ChangeVoters { change, voters_epoch: cluster_state.voters_epoch })
    }
}
