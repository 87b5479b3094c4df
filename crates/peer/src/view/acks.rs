//! What a majority of the voters is known to know.

use vg_base::prelude::*;

use super::View;
use crate::faults::PeerFaults;
use crate::{MemberState, StatusReport};

/// From this many voters on, the node of a fenced member doesn't count among
/// those that acknowledge its fence: it might be the fenced process itself.
const EXCLUDE_OWN_VOTERS: usize = 3;

impl<F: PeerFaults> View<F> {
    /// Takes in what a peer states of its knowledge.
    pub fn note_report(&mut self, now: Instant, from: &Member, report: &StatusReport) {
        self.note_ack(from, report.state_epoch);
        self.note_revision(from, report.revision);
        self.refresh_passing(now);
    }

    /// Notes the revision that a member has in force, this one included.
    pub fn note_revision(&mut self, member: &Member, revision: Revision) {
        if !self.cluster_state.members.contains_key(member) && *member != self.me {
            return;
        }
        let known = self.revisions.entry(member.clone()).or_default();
        *known = revision.max(*known);
    }

    pub(super) fn note_ack(&mut self, from: &Member, epoch: Epoch) {
        // Keeps the memory bounded whatever names come.
        let named = self.cluster_state.members.keys().any(|member| member.node == from.node);
        if !named && !self.cluster_state.voters.contains(&from.node) {
            return;
        }
        let known = self.acks.entry(from.node.clone()).or_default();
        *known = epoch.max(*known);
    }

    /// Whether a majority of the voters has a revision: it may be announced
    /// as accepted, since no later outage can bring back an earlier one.
    pub fn is_accepted(&self, revision: Revision) -> bool {
        let has = |node: &&NodeId| {
            let mut known = self.revisions.iter().filter(|(member, _)| member.node == **node);
            known.any(|(_, known)| *known >= revision)
        };
        self.cluster_state.voters.iter().filter(has).count() >= self.cluster_state.majority()
    }

    /// Returns the members that hold rights and have not stated a revision.
    pub fn members_behind(&self, revision: Revision) -> Vec<Member> {
        let behind =
            |member: &&Member| self.revisions.get(member).is_none_or(|known| *known < revision);
        self.cluster_state.active().filter(behind).cloned().collect()
    }

    /// Whether a majority of the voters knows an epoch of the book.
    pub(super) fn majority_knows(&self, epoch: Epoch, except: Option<&NodeId>) -> bool {
        let except = except.filter(|_| self.cluster_state.voters.len() >= EXCLUDE_OWN_VOTERS);
        let voters = self.cluster_state.voters.iter().filter(|node| Some(*node) != except);
        let knows = |node: &&NodeId| self.acks.get(*node).is_some_and(|known| *known >= epoch);
        voters.filter(knows).count() >= self.cluster_state.majority()
    }

    /// Returns when the fence of a lost member became known here. Unless it
    /// acted under the outage rule, it has started nothing since.
    pub fn fenced_at(&self, lost: &Member) -> Option<Instant> {
        self.fences.get(lost).copied()
    }

    /// Whether the rights of a fenced member may pass to others: it can't act
    /// on its lease, and no majority supports it any more.
    pub fn may_reassign(&self, now: Instant, lost: &Member) -> bool {
        self.passes_at(lost).is_some_and(|at| now >= at)
    }

    /// Notes that runs may last this long, by the lists in force. Never takes
    /// it back: runs that started by earlier lists may still go on.
    pub fn raise_attempt_max(&mut self, longest: Duration) {
        self.timing.attempt_max = self.timing.attempt_max.max(longest);
    }

    /// Whether all that a fenced member may have started is over.
    pub fn attempts_finished(&self, now: Instant, lost: &Member) -> bool {
        let stopped = MemberState::is_stopped;
        if self.cluster_state.member_state(lost).is_some_and(stopped) {
            return true;
        }
        let wait = if F::RECLAIM_EARLY { Duration::ZERO } else { self.timing.attempt_max };
        self.passes_at(lost).is_some_and(|at| now >= at + wait)
    }

    fn passes_at(&self, lost: &Member) -> Option<Instant> {
        let known = *self.fences.get(lost)?;
        let alone = known + self.timing.unacknowledged_wait();
        if F::REASSIGN_UNACKNOWLEDGED {
            return Some(known);
        }
        let wait = self.timing.report_ttl + self.timing.clock_margin;
        let wait = if F::REASSIGN_WITHOUT_WAIT { Duration::ZERO } else { wait };
        let confirmed = self.passing.get(lost).map(|(_, since)| *since + wait);
        Some(confirmed.map_or(alone, |at| at.min(alone)))
    }

    pub(super) fn refresh_passing(&mut self, now: Instant) {
        for lost in self.fences.keys().cloned().collect::<Vec<_>>() {
            let Some(epoch) = self.cluster_state.ack_epoch(&lost) else {
                continue;
            };
            if self.passing.get(&lost).is_some_and(|(known, _)| *known == epoch) {
                continue;
            }
            self.passing.remove(&lost);
            if self.majority_knows(epoch, Some(&lost.node)) {
                self.passing.insert(lost, (epoch, now));
            }
        }
    }
}
