//! Creation and handling of messages between members.

use vg_base::prelude::*;
use vg_events::Stamp;
use vg_limit::{PermitReply, PermitRequest};

use super::Membership;
use crate::Heartbeat;
use crate::faults::PeerFaults;

/// What the caller must handle after a heartbeat was received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// Permits that the heartbeat transferred to this member.
    pub permits: Vec<(TeamId, Permits)>,
    /// Epoch of a later cluster state that the peer knows; the caller should read it.
    pub state_epoch: Option<Epoch>,
    /// Revision of later lists that are in force on the peer; the caller should read them.
    pub revision: Option<Revision>,
}

impl<F: PeerFaults> Membership<F> {
    /// Returns the peers to which a heartbeat should be sent now.
    pub fn heartbeats_due(&self, now: Instant) -> Vec<Member> {
        self.view.heartbeats_due(now, self.authority.has_contact(now))
    }

    /// Creates a heartbeat or the reply to a heartbeat.
    pub fn heartbeat(&mut self, now: Instant, to: &Member, stamp: Stamp) -> Heartbeat {
        self.permits.rebalance(to);
        // This is also true for a reclaimed member, which is no longer in the cluster state.
        let retired = self.cluster_state().is_retired(to);
        let report = self.authority.report(now, retired);
        let (serial, echo) = self.view.next_serial(now, to);
        let cluster_state = self.view.cluster_state();
        self.hints.retain(|member| cluster_state.is_active(member));
        let transfers = self.permits.transfer_counters(to);
        let current = if transfers.is_some() { self.permits.permit_hints() } else { Vec::new() };
        Heartbeat {
            from: self.me.clone(),
            to: to.clone(),
            stamp,
            serial,
            echo,
            report,
            transfers,
            hints: self.hints.next(to, current),
            leaving: self.leaving,
        }
    }

    /// Handles a heartbeat or the reply to a heartbeat.
    ///
    /// A message for another member or incarnation has no effect, except that this member
    /// loses its authority if the message shows a later incarnation of its own node.
    pub fn receive(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        let Heartbeat { from, to, .. } = heartbeat;
        let is_later = |other: &Member| other.node == self.me.node && *other > self.me;
        if is_later(from) || is_later(to) {
            self.authority.revoke();
        }
        if *to != self.me || from.node == self.me.node {
            return HeartbeatOutcome::default();
        }
        let is_newest = self.note_message(now, heartbeat);
        let permits = heartbeat.transfers.as_ref();
        let permits = permits.map(|each| self.permits.receive(from, to, each)).unwrap_or_default();
        if is_newest {
            self.permits.record_hints(from, &heartbeat.hints);
        }
        let report = &heartbeat.report;
        HeartbeatOutcome {
            permits,
            state_epoch: Some(report.state_epoch)
                .filter(|epoch| *epoch > self.cluster_state().epoch),
            revision: Some(report.revision).filter(|known| *known > self.authority.revision()),
        }
    }

    /// Returns the requests for permits to send now.
    pub fn permit_requests(&mut self) -> Vec<PermitRequest> {
        self.permits.permit_requests()
    }

    /// Answers a request for permits; `None` if the request is not for this member.
    pub fn answer_permits(&mut self, request: &PermitRequest) -> Option<PermitReply> {
        self.permits.answer_request(request)
    }

    /// Handles the answer to a request for permits. Returns the permits received.
    pub fn receive_permits(&mut self, reply: &PermitReply) -> Vec<(TeamId, Permits)> {
        self.permits.receive_reply(reply)
    }

    /// Records the serial number and the status report of a message. Returns whether the
    /// message is the latest one of the peer.
    fn note_message(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let from = &heartbeat.from;
        let link = self.view.link(from);
        let is_newest = link.receive(now, heartbeat.serial);
        let requested_at = link.echo_sent_at(heartbeat.echo);
        let requested_at = if F::AGE_BY_RECEIPT { Some(now) } else { requested_at };
        self.view.note_report(now, from, &heartbeat.report);
        if let Some(requested_at) = requested_at.filter(|_| is_newest) {
            self.authority.note_report(from, requested_at, heartbeat.report);
        }
        is_newest
    }
}
