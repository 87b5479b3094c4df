//! Transfers of permits between live members without a write to the store.

use std::collections::BTreeMap;

use vg_base::prelude::*;

use crate::faults::PermitFaults;
use crate::{Balance, MemberPermits, PermitHint, PermitReply, PermitRequest, TransferCounters};

/// Least difference between this member's spare and a peer's idle permits at which
/// a peer that wants none gets some. Smaller differences are left, so that single
/// permits do not move back and forth.
const REBALANCE_MIN_PERMITS: u32 = 4;

impl<F: PermitFaults> MemberPermits<F> {
    /// Returns the counters to put into a message to a peer; `None` if the account
    /// of the peer or of this member is not open.
    pub fn transfer_counters(&self, to: &Member) -> Option<TransferCounters> {
        let counters = self.peers.get(to).filter(|counters| self.open && !counters.frozen);
        counters.map(|counters| counters.transfers())
    }

    /// Merges the counters of a peer's message and returns the newly received
    /// permits by team.
    ///
    /// The counters are ignored unless they are addressed to this incarnation and
    /// both accounts are open. A later message has them again.
    pub fn receive(
        &mut self,
        from: &Member,
        to: &Member,
        transfers: &TransferCounters,
    ) -> Vec<(TeamId, Permits)> {
        if !self.open || *to != self.me {
            return Vec::new();
        }
        let Some(counters) = self.peers.get_mut(from).filter(|counters| !counters.frozen) else {
            return Vec::new();
        };
        let gained = counters.merge_received::<F>(transfers);
        for (team, permits) in &gained {
            self.holdings.entry(team.clone()).or_default().net_received += Balance::from(*permits);
        }
        gained
    }

    /// Sends spare permits to a peer that asks for them, and returns the reply with
    /// counters that include them.
    ///
    /// Returns `None` if the request is not for this incarnation or the peer's
    /// account is not open.
    pub fn answer_request(&mut self, request: &PermitRequest) -> Option<PermitReply> {
        if request.to != self.me || self.transfer_counters(&request.from).is_none() {
            return None;
        }
        for (team, &wanted) in &request.wanted {
            let permits = self.spare(team).min(wanted);
            self.send(&request.from, team, permits);
        }
        let transfers = self.transfer_counters(&request.from)?;
        Some(PermitReply { from: self.me.clone(), to: request.from.clone(), transfers })
    }

    /// Merges the reply to a permit request and returns the newly received permits
    /// by team.
    pub fn receive_reply(&mut self, reply: &PermitReply) -> Vec<(TeamId, Permits)> {
        self.receive(&reply.from, &reply.to, &reply.transfers)
    }

    /// Records a peer's hints about its idle and wanted permits.
    pub fn record_hints(&mut self, from: &Member, hints: &[PermitHint]) {
        if self.transfer_counters(from).is_none() {
            return;
        }
        let known = self.peer_hints.entry(from.clone()).or_default();
        for each in hints {
            if each.idle == Permits::ZERO && each.wanted == Permits::ZERO {
                known.remove(&each.team);
            } else {
                known.insert(each.team.clone(), each.clone());
            }
        }
    }

    /// Returns this member's hints for its peers: one for each team with idle or
    /// wanted permits.
    pub fn permit_hints(&self) -> Vec<PermitHint> {
        let each = self.holdings.iter().map(|(team, holding)| PermitHint {
            team: team.clone(),
            idle: holding.idle(),
            wanted: holding.wanted,
        });
        each.filter(|each| each.idle > Permits::ZERO || each.wanted > Permits::ZERO).collect()
    }

    /// Returns requests for the permits that are missing at this member. Those of a
    /// team are requested from the peer whose hint shows the most idle ones. There
    /// are no requests if this member is leaving or its account is not open.
    pub fn permit_requests(&mut self) -> Vec<PermitRequest> {
        let mut requested: BTreeMap<Member, BTreeMap<TeamId, Permits>> = BTreeMap::new();
        if !self.open || self.leaving {
            return Vec::new();
        }
        for (team, missing) in self.missing() {
            if let Some((peer, permits)) = self.choose_donor(&team, missing) {
                requested.entry(peer).or_default().insert(team, permits);
            }
        }
        let from = &self.me;
        let request = |(to, wanted)| PermitRequest { from: from.clone(), to, wanted };
        requested.into_iter().map(request).collect()
    }

    /// Sends spare permits to a peer whose hints show that it wants some or has
    /// fewer. A peer that wants permits gets at most half of the spare ones, rounded
    /// up. The caller sends the peer a message with the counters afterwards.
    pub fn rebalance(&mut self, to: &Member) {
        if self.transfer_counters(to).is_none() {
            return;
        }
        for team in self.holdings.keys().cloned().collect::<Vec<_>>() {
            let hint = self.peer_hints.get(to).and_then(|known| known.get(&team));
            let (idle, wanted) =
                hint.map_or_else(Default::default, |each| (each.idle, each.wanted));
            let spare = self.spare(&team);
            let permits = if wanted > Permits::ZERO {
                wanted.min(Permits(spare.get().div_ceil(2)))
            } else {
                // Only a quarter of the difference is sent, so that several members that
                // send to one peer at the same time do not send too much together.
                let difference = spare.saturating_sub(idle).get();
                Permits(if difference >= REBALANCE_MIN_PERMITS { difference / 4 } else { 0 })
            };
            if permits > Permits::ZERO {
                self.send(to, &team, permits);
                self.adjust_hint(to, &team, permits);
            }
        }
    }

    /// Returns the permits that waiting work lacks beyond the idle ones, by team.
    /// Teams over their limit are left out, since their runs may not start.
    fn missing(&self) -> Vec<(TeamId, Permits)> {
        let each = self.holdings.iter().filter(|(_, holding)| !holding.over_limit);
        let each = each.map(|(team, own)| (team.clone(), own.wanted.saturating_sub(own.idle())));
        each.filter(|(_, missing)| *missing > Permits::ZERO).collect()
    }

    /// Chooses the peer to ask for missing permits and how many to ask for. Returns
    /// `None` if no peer's hint shows idle permits of the team.
    fn choose_donor(&mut self, team: &TeamId, missing: Permits) -> Option<(Member, Permits)> {
        let hints = self.peer_hints.iter_mut();
        let candidates = hints.filter_map(|(peer, teams)| Some((peer, teams.get_mut(team)?)));
        let (peer, hint) = candidates.max_by_key(|(_, each)| each.idle)?;
        let permits = hint.idle.min(missing);
        // Until its next hint, the peer counts as having fewer idle permits by the
        // number requested.
        hint.idle = hint.idle.saturating_sub(permits);
        (permits > Permits::ZERO).then(|| (peer.clone(), permits))
    }

    /// Returns the idle permits that this member's own waiting work does not need.
    fn spare(&self, team: &TeamId) -> Permits {
        let spare = |own: &crate::Holding| own.idle().saturating_sub(own.wanted);
        self.holdings.get(team).map(spare).unwrap_or_default()
    }

    /// Moves permits from the holding to the counters that are sent to a peer.
    fn send(&mut self, to: &Member, team: &TeamId, permits: Permits) {
        let (Some(counters), Some(holding)) = (self.peers.get_mut(to), self.holdings.get_mut(team))
        else {
            return;
        };
        if permits == Permits::ZERO {
            return;
        }
        // The holding is lowered before any message can transfer the permits.
        if !F::GIVE_AND_KEEP {
            holding.net_received -= Balance::from(permits);
        }
        counters.record_sent(team, permits);
    }

    /// Adjusts the peer's hint by permits that were sent to it, until it sends its
    /// next hint.
    fn adjust_hint(&mut self, to: &Member, team: &TeamId, permits: Permits) {
        let known = self.peer_hints.entry(to.clone()).or_default();
        let entry = known.entry(team.clone());
        let none = || PermitHint { team: team.clone(), idle: Permits::ZERO, wanted: Permits::ZERO };
        let hint = entry.or_insert_with(none);
        hint.idle += permits;
        hint.wanted = hint.wanted.saturating_sub(permits);
    }
}
