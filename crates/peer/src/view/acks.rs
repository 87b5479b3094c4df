//! Which epochs and revisions the voters have acknowledged, and when the rights of a lost
//! member may be reassigned.

use vg_base::prelude::*;

use super::View;
use crate::faults::PeerFaults;
use crate::{MemberState, StatusReport};

/// From this number of voters on, the node of a fenced member doesn't count among the
/// voters that acknowledge the fence, since the fenced process itself may have answered.
const EXCLUDE_LOST_MIN_VOTERS: usize = 3;

impl<F: PeerFaults> View<F> {
    /// Records which cluster state and lists a peer knows, according to its status report.
    pub fn note_report(&mut self, now: Instant, from: &Member, report: &StatusReport) {
        self.note_ack(from, report.state_epoch);
        self.note_revision(from, report.revision);
        self.refresh_majority_acks(now);
    }

    /// Records the revision that is in force on a member, which may be this member.
    pub fn note_revision(&mut self, member: &Member, revision: Revision) {
        if !self.cluster_state.members.contains_key(member) && *member != self.me {
            return;
        }
        let known = self.revisions.entry(member.clone()).or_default();
        *known = revision.max(*known);
    }

    /// Records that a node knows the cluster state of `epoch`.
    pub(super) fn note_ack(&mut self, from: &Member, epoch: Epoch) {
        // Unknown node names are ignored, so that the memory stays bounded.
        let is_named = self.cluster_state.members.keys().any(|member| member.node == from.node);
        if !is_named && !self.cluster_state.voters.contains(&from.node) {
            return;
        }
        let known = self.acks.entry(from.node.clone()).or_default();
        *known = epoch.max(*known);
    }

    /// Whether a revision is in force on a majority of the voters. It may then be announced
    /// as accepted, since no later outage of the store can make an earlier revision valid
    /// again.
    pub fn is_accepted(&self, revision: Revision) -> bool {
        let has_revision = |node: &&NodeId| {
            let mut known = self.revisions.iter().filter(|(member, _)| member.node == **node);
            known.any(|(_, known)| *known >= revision)
        };
        self.cluster_state.voters.iter().filter(has_revision).count()
            >= self.cluster_state.majority()
    }

    /// Returns the members that hold rights and have not yet reported that the revision, or
    /// a later one, is in force.
    pub fn members_behind(&self, revision: Revision) -> Vec<Member> {
        let behind =
            |member: &&Member| self.revisions.get(member).is_none_or(|known| *known < revision);
        self.cluster_state.active().filter(behind).cloned().collect()
    }

    /// Whether a majority of the voters has acknowledged an epoch of the cluster state. The
    /// node `except` is not counted if there are at least [`EXCLUDE_LOST_MIN_VOTERS`] voters.
    pub(super) fn majority_acknowledged(&self, epoch: Epoch, except: Option<&NodeId>) -> bool {
        let except = except.filter(|_| self.cluster_state.voters.len() >= EXCLUDE_LOST_MIN_VOTERS);
        let voters = self.cluster_state.voters.iter().filter(|node| Some(*node) != except);
        let knows = |node: &&NodeId| self.acks.get(*node).is_some_and(|known| *known >= epoch);
        voters.filter(knows).count() >= self.cluster_state.majority()
    }

    /// Returns when the fence of a lost member became known here. The lost member has
    /// started nothing since then, unless it acted without a lease because the store was
    /// out of reach.
    pub fn fenced_at(&self, lost: &Member) -> Option<Instant> {
        self.fenced_since.get(lost).copied()
    }

    /// Whether the rights of a fenced member may be reassigned: it can no longer act on its
    /// lease, and no majority of the voters supports it any more.
    pub fn may_reassign(&self, now: Instant, lost: &Member) -> bool {
        self.reassign_time(lost).is_some_and(|at| now >= at)
    }

    /// Raises [`Timing::attempt_max`](crate::Timing::attempt_max) to the longest duration of
    /// an attempt under the lists in force. The value is never lowered, since attempts that
    /// started under earlier lists may still run.
    pub fn raise_attempt_max(&mut self, longest: Duration) {
        self.timing.attempt_max = self.timing.attempt_max.max(longest);
    }

    /// Whether all attempts that a fenced member may have started have finished.
    pub fn attempts_finished(&self, now: Instant, lost: &Member) -> bool {
        let is_stopped = MemberState::is_stopped;
        if self.cluster_state.member_state(lost).is_some_and(is_stopped) {
            return true;
        }
        let wait = if F::RECLAIM_EARLY { Duration::ZERO } else { self.timing.attempt_max };
        self.reassign_time(lost).is_some_and(|at| now >= at + wait)
    }

    /// Returns when the rights of a fenced member may be reassigned. That is when the status
    /// reports that voters sent before they acknowledged the fence have expired, and at the
    /// latest when no member can act without the store any more.
    fn reassign_time(&self, lost: &Member) -> Option<Instant> {
        let fenced_at = *self.fenced_since.get(lost)?;
        let unacknowledged = fenced_at + self.timing.unacknowledged_wait();
        if F::REASSIGN_UNACKNOWLEDGED {
            return Some(fenced_at);
        }
        let wait = self.timing.report_ttl + self.timing.clock_margin;
        let wait = if F::REASSIGN_WITHOUT_WAIT { Duration::ZERO } else { wait };
        let confirmed = self.majority_acks.get(lost).map(|(_, since)| *since + wait);
        Some(confirmed.map_or(unacknowledged, |at| at.min(unacknowledged)))
    }

    /// Records for each fenced member since when a majority has acknowledged the required
    /// epoch. The time starts again when the required epoch changes.
    pub(super) fn refresh_majority_acks(&mut self, now: Instant) {
        for lost in self.fenced_since.keys().cloned().collect::<Vec<_>>() {
            let Some(epoch) = self.cluster_state.ack_epoch(&lost) else {
                continue;
            };
            if self.majority_acks.get(&lost).is_some_and(|(known, _)| *known == epoch) {
                continue;
            }
            self.majority_acks.remove(&lost);
            if self.majority_acknowledged(epoch, Some(&lost.node)) {
                self.majority_acks.insert(lost, (epoch, now));
            }
        }
    }
}
