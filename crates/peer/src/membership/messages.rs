//! Making and taking in messages.

use vg_base::prelude::*;
use vg_events::Stamp;
use vg_limit::{UnitReply, UnitRequest};

use super::Membership;
use crate::Heartbeat;
use crate::faults::PeerFaults;

/// What a heartbeat brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// Units that came in.
    pub permits: Vec<(TeamId, Units)>,
    /// The peer knows a later book: read it.
    pub state_epoch: Option<Epoch>,
    /// The peer has later lists in force: read them.
    pub revision: Option<Revision>,
}

impl<F: PeerFaults> Membership<F> {
    /// Returns the peers to send a heartbeat to now.
    pub fn heartbeats_due(&self, now: Instant) -> Vec<Member> {
        self.view.heartbeats_due(now, self.authority.has_contact(now))
    }

    /// Makes a heartbeat, or the reply to one.
    pub fn heartbeat(&mut self, now: Instant, to: &Member, stamp: Stamp) -> Heartbeat {
        self.ledger.spread(to);
        // Also a member that was reclaimed and is gone from the book.
        let over = self.cluster_state().is_retired(to);
        let report = self.authority.report(now, over);
        let (serial, echo) = self.view.number(now, to);
        let cluster_state = self.view.cluster_state();
        self.advice.retain(|member| cluster_state.is_active(member));
        let transfers = self.ledger.transfers(to);
        let current = if transfers.is_some() { self.ledger.advice() } else { Vec::new() };
        Heartbeat {
            from: self.me.clone(),
            to: to.clone(),
            stamp,
            serial,
            echo,
            report,
            transfers,
            advice: self.advice.next(to, current),
            leaving: self.leaving,
        }
    }

    /// Takes in a heartbeat or the reply to one.
    ///
    /// One that is meant for another incarnation has no effect.
    pub fn receive(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatOutcome {
        let Heartbeat { from, to, .. } = heartbeat;
        let later = |other: &Member| other.node == self.me.node && *other > self.me;
        if later(from) || later(to) {
            self.authority.revoke();
        }
        if *to != self.me || from.node == self.me.node {
            return HeartbeatOutcome::default();
        }
        let fresh = self.note_message(now, heartbeat);
        let units = heartbeat.transfers.as_ref();
        let units = units.map(|each| self.ledger.receive(from, to, each)).unwrap_or_default();
        if fresh {
            self.ledger.note_advice(from, &heartbeat.advice);
        }
        let report = &heartbeat.report;
        HeartbeatOutcome {
            permits: units,
            state_epoch: Some(report.state_epoch)
                .filter(|epoch| *epoch > self.cluster_state().epoch),
            revision: Some(report.revision).filter(|known| *known > self.authority.revision()),
        }
    }

    /// Returns the requests for units to send now.
    pub fn unit_requests(&mut self) -> Vec<UnitRequest> {
        self.ledger.requests()
    }

    /// Answers a request for units; `None` if it is not for this member.
    pub fn answer_units(&mut self, request: &UnitRequest) -> Option<UnitReply> {
        self.ledger.answer(request)
    }

    /// Takes in the answer to a request for units.
    pub fn receive_units(&mut self, reply: &UnitReply) -> Vec<(TeamId, Units)> {
        self.ledger.receive_reply(reply)
    }

    fn note_message(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let from = &heartbeat.from;
        let link = self.view.link(from);
        let fresh = link.receive(now, heartbeat.serial);
        let asked = link.asked(heartbeat.echo);
        let asked = if F::AGE_BY_RECEIPT { Some(now) } else { asked };
        self.view.note_report(now, from, &heartbeat.report);
        if let Some(asked) = asked.filter(|_| fresh) {
            self.authority.note_report(from, asked, heartbeat.report);
        }
        fresh
    }
}
