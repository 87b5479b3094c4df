//! Who is there, and when to speak to whom.

use vg_base::prelude::*;

use super::View;
use crate::faults::PeerFaults;
use crate::{MemberRecord, MemberState};

/// How another member seems to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// In the book and heard of lately.
    Live,
    /// In the book and not heard of lately.
    Suspected,
    /// Gives its rights away.
    Leaving,
    /// Fenced or not in the book.
    Lost,
}

impl<F: PeerFaults> View<F> {
    /// Returns how a member seems to be. Advice: only the book is certain.
    pub fn health(&self, now: Instant, member: &Member) -> Health {
        match self.cluster_state.member_state(member) {
            None | Some(MemberState::Fenced { .. }) => Health::Lost,
            Some(MemberState::Leaving) => Health::Leaving,
            Some(MemberState::Live) if self.is_heard(now, member) => Health::Live,
            Some(MemberState::Live) => Health::Suspected,
        }
    }

    /// Returns the peers to send a heartbeat to now.
    ///
    /// Of two members the one with the lower id sends, the other replies; the
    /// other sends as well once it hears nothing.
    pub fn heartbeats_due(&self, now: Instant, contact: bool) -> Vec<Member> {
        let others = self.cluster_state.members.iter().filter(|(member, _)| **member != self.me);
        let active = others.filter(|(_, record)| !record.state.is_fenced());
        let due = active
            .filter(|(member, record)| self.is_due(now, member, self.period(record, contact)));
        due.map(|(member, _)| member.clone()).collect()
    }

    /// Without the store, statements of all voters are needed often, and
    /// before the leases lapse.
    fn period(&self, peer: &MemberRecord, contact: bool) -> Duration {
        if !contact {
            return self.timing.near_period / 2;
        }
        let own = self.cluster_state.members.get(&self.me);
        let near = own.is_none_or(|own| own.region == peer.region);
        if near { self.timing.near_period } else { self.timing.far_period }
    }

    fn is_due(&self, now: Instant, peer: &Member, period: Duration) -> bool {
        let Some(link) = self.links.get(peer) else {
            return true;
        };
        let past = |at: Option<Instant>, wait| at.is_none_or(|at| now >= at + wait);
        let sends = self.me < *peer || past(link.heard(), period * 2);
        sends && past(link.last_sent(), period)
    }

    pub(super) fn is_heard(&self, now: Instant, member: &Member) -> bool {
        let heard = self.links.get(member).and_then(|link| link.heard());
        *member == self.me || heard.is_some_and(|at| now < at + self.timing.suspect_timeout)
    }
}
