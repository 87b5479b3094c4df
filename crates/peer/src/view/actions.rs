//! Transitions that this member should propose.

use std::collections::BTreeSet;

use vg_base::prelude::*;

use super::View;
use crate::faults::PeerFaults;
use crate::{Transition, VoterStep};

impl<F: PeerFaults> View<F> {
    /// Returns the transitions of the book that are due and this member's turn
    /// to propose.
    ///
    /// The member that comes first proposes at once, the others one after the
    /// other if nothing has changed since, so that the store is not stormed.
    pub fn actions(&mut self, now: Instant) -> Vec<Transition> {
        if !self.book.holds_rights(&self.me) {
            return Vec::new();
        }
        self.refresh_passing(now);
        let mut wanted = self.fences_due(now);
        wanted.extend(self.takes_due(now));
        wanted.extend(self.reclaims_due(now));
        wanted.extend(self.book.needs_placing().then_some(Transition::PlacePools));
        wanted.extend(self.voter_step_due());
        self.in_turn(now, wanted)
    }

    fn in_turn(&mut self, now: Instant, wanted: Vec<Transition>) -> Vec<Transition> {
        let known = std::mem::take(&mut self.due);
        for each in wanted {
            let since = known.iter().find(|(before, _)| *before == each);
            let since = since.map_or(now, |(_, since)| *since);
            self.due.push((each, since));
        }
        let turn = self.timing.stagger * self.rank(now);
        let due = self.due.iter().filter(|(_, since)| now >= *since + turn);
        due.map(|(each, _)| each.clone()).collect()
    }

    /// Members that come before this one and seem to be there.
    fn rank(&self, now: Instant) -> u32 {
        let before = self.book.live().take_while(|member| **member != self.me);
        let count = before.filter(|member| self.is_heard(now, member)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn fences_due(&self, now: Instant) -> Vec<Transition> {
        // An old reading says nothing of the keys of today.
        if self.listed.is_none_or(|at| now >= at + self.timing.contact) {
            return Vec::new();
        }
        let quiet = if F::FENCE_AT_ONCE { Duration::ZERO } else { self.timing.quiet };
        let away = self.absent.iter().filter(|(_, since)| now >= **since + quiet);
        let away = away.filter(|(member, _)| **member != self.me && self.book.holds_rights(member));
        away.map(|(dead, _)| Transition::Fence { dead: dead.clone() }).collect()
    }

    fn takes_due(&self, now: Instant) -> Vec<Transition> {
        let owners: BTreeSet<&Member> = self.book.owners.values().map(|held| &held.owner).collect();
        let passed = owners.into_iter().filter(|owner| self.may_pass(now, owner));
        let voters = self.book.voters_epoch;
        passed.map(|dead| Transition::TakePools { dead: dead.clone(), voters }).collect()
    }

    fn reclaims_due(&self, now: Instant) -> Vec<Transition> {
        let owns = |member: &Member| self.book.owners.values().any(|held| held.owner == *member);
        let done = |member: &Member| self.is_over(now, member) && !owns(member);
        let mut found = Vec::new();
        let mut seen = BTreeSet::new();
        for dead in self.fences.keys() {
            if seen.contains(dead) || !done(dead) {
                continue;
            }
            let linked = if F::RECLAIM_ALONE {
                BTreeSet::from([dead.clone()])
            } else {
                self.book.units.linked_accounts(dead)
            };
            seen.extend(linked.iter().cloned());
            if linked.iter().all(|each| !self.book.holds_rights(each) && done(each)) {
                found.push(Transition::Reclaim { dead: linked, voters: self.book.voters_epoch });
            }
        }
        found
    }

    /// One step towards the nodes of the members as voters, once a majority of
    /// the present voters knows that they are.
    fn voter_step_due(&self) -> Option<Transition> {
        let book = &self.book;
        if !self.majority_knows(book.voters_epoch, None) {
            return None;
        }
        let joined =
            book.live().map(|member| &member.node).find(|node| !book.voters.contains(*node));
        let gone = || {
            let has_member = |node: &NodeId| book.members.keys().any(|member| member.node == *node);
            book.voters.iter().find(|node| !has_member(node))
        };
        let add = joined.cloned().map(VoterStep::Add);
        let step = add.or_else(|| gone().cloned().map(VoterStep::Remove))?;
        Some(Transition::StepVoters { step, after: book.voters_epoch })
    }
}
