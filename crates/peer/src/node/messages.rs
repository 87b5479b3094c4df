//! Making and taking in messages.

use vg_base::prelude::*;
use vg_events::Stamp;
use vg_limit::{PermitReply, PermitRequest};

use super::Node;
use crate::Heartbeat;
use crate::faults::PeerFaults;

/// What a heartbeat brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Received {
    /// Units that came in.
    pub units: Vec<(TeamId, Units)>,
    /// The peer knows a later book: read it.
    pub book: Option<Epoch>,
    /// The peer has later lists in force: read them.
    pub revision: Option<Revision>,
}

impl<F: PeerFaults> Node<F> {
    /// Returns the peers to send a heartbeat to now.
    pub fn heartbeats_due(&self, now: Instant) -> Vec<Member> {
        self.view.heartbeats_due(now, self.standing.has_contact(now))
    }

    /// Makes a heartbeat, or the reply to one.
    pub fn heartbeat(&mut self, now: Instant, to: &Member, stamp: Stamp) -> Heartbeat {
        self.ledger.rebalance(to);
        // Also a member that was reclaimed and is gone from the book.
        let over = self.book().is_over(to);
        let statement = self.standing.statement(now, over);
        let (serial, echo) = self.view.number(now, to);
        let book = self.view.book();
        self.advice.retain(|member| book.holds_rights(member));
        let transfers = self.ledger.transfer_counters(to);
        let current = if transfers.is_some() { self.ledger.permit_hints() } else { Vec::new() };
        Heartbeat {
            from: self.me.clone(),
            to: to.clone(),
            stamp,
            serial,
            echo,
            statement,
            transfers,
            advice: self.advice.next(to, current),
            leaving: self.leaving,
        }
    }

    /// Takes in a heartbeat or the reply to one.
    ///
    /// One that is meant for another incarnation has no effect.
    pub fn receive(&mut self, now: Instant, heartbeat: &Heartbeat) -> Received {
        let Heartbeat { from, to, .. } = heartbeat;
        let later = |other: &Member| other.node == self.me.node && *other > self.me;
        if later(from) || later(to) {
            self.standing.end();
        }
        if *to != self.me || from.node == self.me.node {
            return Received::default();
        }
        let fresh = self.note_message(now, heartbeat);
        let units = heartbeat.transfers.as_ref();
        let units = units.map(|each| self.ledger.receive(from, to, each)).unwrap_or_default();
        if fresh {
            self.ledger.record_hints(from, &heartbeat.advice);
        }
        let statement = &heartbeat.statement;
        Received {
            units,
            book: Some(statement.book).filter(|epoch| *epoch > self.book().epoch),
            revision: Some(statement.revision).filter(|known| *known > self.standing.revision()),
        }
    }

    /// Returns the requests for units to send now.
    pub fn unit_requests(&mut self) -> Vec<PermitRequest> {
        self.ledger.permit_requests()
    }

    /// Answers a request for units; `None` if it is not for this member.
    pub fn answer_units(&mut self, request: &PermitRequest) -> Option<PermitReply> {
        self.ledger.answer_request(request)
    }

    /// Takes in the answer to a request for units.
    pub fn receive_units(&mut self, reply: &PermitReply) -> Vec<(TeamId, Units)> {
        self.ledger.receive_reply(reply)
    }

    fn note_message(&mut self, now: Instant, heartbeat: &Heartbeat) -> bool {
        let from = &heartbeat.from;
        let link = self.view.link(from);
        let fresh = link.receive(now, heartbeat.serial);
        let asked = link.asked(heartbeat.echo);
        let asked = if F::AGE_BY_RECEIPT { Some(now) } else { asked };
        self.view.note_statement(now, from, &heartbeat.statement);
        if let Some(asked) = asked.filter(|_| fresh) {
            self.standing.note_statement(from, asked, heartbeat.statement);
        }
        fresh
    }
}
