//! Moving units between live members without the store.

use std::collections::BTreeMap;

use vg_base::prelude::*;

use crate::faults::PermitFaults;
use crate::{Balance, MemberPermits, PermitHint, PermitReply, PermitRequest, TransferCounters};

/// A peer with fewer idle units gets some only if the difference is at least
/// this many units, so that single units don't go back and forth.
const SPREAD_MIN_UNITS: u32 = 4;

impl<F: PermitFaults> MemberPermits<F> {
    /// Returns the counters to put into a message to a peer; `None` if the
    /// book has no open account of it.
    pub fn transfer_counters(&self, to: &Member) -> Option<TransferCounters> {
        let pair = self.pairs.get(to).filter(|pair| self.open && !pair.frozen);
        pair.map(|pair| pair.transfers())
    }

    /// Takes in the counters of a peer's message and returns the units that
    /// came in.
    ///
    /// Counters are ignored unless they are meant for this incarnation and
    /// both accounts are open; a later message brings them again.
    pub fn receive(
        &mut self,
        from: &Member,
        to: &Member,
        transfers: &TransferCounters,
    ) -> Vec<(TeamId, Units)> {
        if !self.open || *to != self.me {
            return Vec::new();
        }
        let Some(pair) = self.pairs.get_mut(from).filter(|pair| !pair.frozen) else {
            return Vec::new();
        };
        let grown = pair.receive::<F>(transfers);
        for (team, units) in &grown {
            self.holdings.entry(team.clone()).or_default().net += Balance::from(*units);
        }
        grown
    }

    /// Answers a peer that asks for units with counters that include them.
    ///
    /// Returns `None` if the request is not for this incarnation or the peer's
    /// account is not open.
    pub fn answer_request(&mut self, request: &PermitRequest) -> Option<PermitReply> {
        if request.to != self.me || self.transfer_counters(&request.from).is_none() {
            return None;
        }
        for (team, &wanted) in &request.wanted {
            let units = self.spare(team).min(wanted);
            self.send(&request.from, team, units);
        }
        let transfers = self.transfer_counters(&request.from)?;
        Some(PermitReply { from: self.me.clone(), to: request.from.clone(), transfers })
    }

    /// Takes in the answer to a request.
    pub fn receive_reply(&mut self, reply: &PermitReply) -> Vec<(TeamId, Units)> {
        self.receive(&reply.from, &reply.to, &reply.transfers)
    }

    /// Remembers what a peer has told of its idle and wanted units.
    pub fn record_hints(&mut self, from: &Member, advice: &[PermitHint]) {
        if self.transfer_counters(from).is_none() {
            return;
        }
        let known = self.advice.entry(from.clone()).or_default();
        for each in advice {
            if each.idle == Units::ZERO && each.wanted == Units::ZERO {
                known.remove(&each.team);
            } else {
                known.insert(each.team.clone(), each.clone());
            }
        }
    }

    /// Returns what to tell peers: teams with idle or wanted units.
    pub fn permit_hints(&self) -> Vec<PermitHint> {
        let each = self.holdings.iter().map(|(team, holding)| PermitHint {
            team: team.clone(),
            idle: holding.idle(),
            wanted: holding.wanted,
        });
        each.filter(|each| each.idle > Units::ZERO || each.wanted > Units::ZERO).collect()
    }

    /// Returns requests for the units that are wanted here, to the peers that
    /// have told of the most idle ones.
    pub fn permit_requests(&mut self) -> Vec<PermitRequest> {
        let mut asked: BTreeMap<Member, BTreeMap<TeamId, Units>> = BTreeMap::new();
        if !self.open || self.leaving {
            return Vec::new();
        }
        for (team, missing) in self.missing() {
            if let Some((peer, units)) = self.ask(&team, missing) {
                asked.entry(peer).or_default().insert(team, units);
            }
        }
        let from = &self.me;
        let request = |(to, wanted)| PermitRequest { from: from.clone(), to, wanted };
        asked.into_iter().map(request).collect()
    }

    /// Hands idle units to a peer that has told of fewer, ahead of a message
    /// to it.
    pub fn rebalance(&mut self, to: &Member) {
        if self.transfer_counters(to).is_none() {
            return;
        }
        for team in self.holdings.keys().cloned().collect::<Vec<_>>() {
            let told = self.advice.get(to).and_then(|known| known.get(&team));
            let (free, wanted) =
                told.map_or_else(Default::default, |each| (each.idle, each.wanted));
            let spare = self.spare(&team);
            let units = if wanted > Units::ZERO {
                wanted.min(Units(spare.get().div_ceil(2)))
            } else {
                // A quarter, so that several givers don't overshoot together.
                let difference = spare.saturating_sub(free).get();
                Units(if difference >= SPREAD_MIN_UNITS { difference / 4 } else { 0 })
            };
            if units > Units::ZERO {
                self.send(to, &team, units);
                self.note_sent(to, &team, units);
            }
        }
    }

    fn missing(&self) -> Vec<(TeamId, Units)> {
        let each = self.holdings.iter().filter(|(_, holding)| !holding.over);
        let each = each.map(|(team, own)| (team.clone(), own.wanted.saturating_sub(own.idle())));
        each.filter(|(_, missing)| *missing > Units::ZERO).collect()
    }

    fn ask(&mut self, team: &TeamId, missing: Units) -> Option<(Member, Units)> {
        let known = self.advice.iter_mut();
        let told = known.filter_map(|(peer, teams)| Some((peer, teams.get_mut(team)?)));
        let (peer, best) = told.max_by_key(|(_, each)| each.idle)?;
        let units = best.idle.min(missing);
        // Until it tells anew, the peer counts as having that much less.
        best.idle = best.idle.saturating_sub(units);
        (units > Units::ZERO).then(|| (peer.clone(), units))
    }

    fn spare(&self, team: &TeamId) -> Units {
        let spare = |own: &crate::Holding| own.idle().saturating_sub(own.wanted);
        self.holdings.get(team).map(spare).unwrap_or_default()
    }

    fn send(&mut self, to: &Member, team: &TeamId, units: Units) {
        let (Some(pair), Some(holding)) = (self.pairs.get_mut(to), self.holdings.get_mut(team))
        else {
            return;
        };
        if units == Units::ZERO {
            return;
        }
        // Lowered before any message can carry the units away.
        if !F::GIVE_AND_KEEP {
            holding.net -= Balance::from(units);
        }
        pair.send(team, units);
    }

    fn note_sent(&mut self, to: &Member, team: &TeamId, units: Units) {
        let known = self.advice.entry(to.clone()).or_default();
        let entry = known.entry(team.clone());
        let none = || PermitHint { team: team.clone(), idle: Units::ZERO, wanted: Units::ZERO };
        let told = entry.or_insert_with(none);
        told.idle += units;
        told.wanted = told.wanted.saturating_sub(units);
    }
}
