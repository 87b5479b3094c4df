//! The health of the other members, and when to send heartbeats to them.

use vg_base::prelude::*;

use super::View;
use crate::faults::PeerFaults;
use crate::{MemberRecord, MemberState};

/// Health of another member, as far as this member knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Live in the cluster state, and a message was received within
    /// [`Timing::suspect_timeout`](crate::Timing::suspect_timeout).
    Live,
    /// Live in the cluster state, but no message was received within that time.
    Suspected,
    /// Leaving in the cluster state: the member hands its rights over.
    Leaving,
    /// Fenced, or not in the cluster state.
    Lost,
}

impl<F: PeerFaults> View<F> {
    /// Returns the health of a member. It is a hint; only the cluster state is authoritative.
    pub fn health(&self, now: Instant, member: &Member) -> Health {
        match self.cluster_state.member_state(member) {
            None | Some(MemberState::Fenced { .. }) => Health::Lost,
            Some(MemberState::Leaving) => Health::Leaving,
            Some(MemberState::Live) if self.is_heard_recently(now, member) => Health::Live,
            Some(MemberState::Live) => Health::Suspected,
        }
    }

    /// Returns the peers to which a heartbeat should be sent now.
    ///
    /// Of two members, the one with the lower id sends heartbeats, and the one with the
    /// higher id replies. The latter sends as well when it has received nothing for two
    /// periods.
    pub fn heartbeats_due(&self, now: Instant, has_contact: bool) -> Vec<Member> {
        let others = self.cluster_state.members.iter().filter(|(member, _)| **member != self.me);
        let active = others.filter(|(_, record)| !record.state.is_fenced());
        let ready = active
            .filter(|(member, record)| self.is_due(now, member, self.period(record, has_contact)));
        ready.map(|(member, _)| member.clone()).collect()
    }

    /// Returns the heartbeat period for a peer. Without contact to the store the period is
    /// half as long, since this member then needs recent status reports of all voters, and
    /// needs them before its lease expires.
    fn period(&self, peer: &MemberRecord, has_contact: bool) -> Duration {
        if !has_contact {
            return self.timing.near_period / 2;
        }
        let own = self.cluster_state.members.get(&self.me);
        let is_near = own.is_none_or(|own| own.region == peer.region);
        if is_near { self.timing.near_period } else { self.timing.far_period }
    }

    fn is_due(&self, now: Instant, peer: &Member, period: Duration) -> bool {
        let Some(link) = self.links.get(peer) else {
            return true;
        };
        let is_past = |at: Option<Instant>, wait| at.is_none_or(|at| now >= at + wait);
        let sends = self.me < *peer || is_past(link.last_heard(), period * 2);
        sends && is_past(link.last_sent(), period)
    }

    pub(super) fn is_heard_recently(&self, now: Instant, member: &Member) -> bool {
        let heard = self.links.get(member).and_then(|link| link.last_heard());
        *member == self.me || heard.is_some_and(|at| now < at + self.timing.suspect_timeout)
    }
}
