//! Applies a new state of the permit ledger to a member's permits.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;

use crate::faults::PermitFaults;
use crate::{Balance, Holding, MemberPermits, PermitLedger};

impl<F: PermitFaults> MemberPermits<F> {
    /// Applies the ledger as of an epoch. An epoch that is not later than the last
    /// applied one has no effect.
    pub fn apply(&mut self, epoch: Epoch, ledger: &PermitLedger) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.open = ledger.accounts.get(&self.me).is_some_and(|account| account.is_open());
        self.resolve_pending(ledger);
        self.refresh_peers(ledger);
        self.refresh_holdings(ledger);
    }

    /// Releases the pending adjustment once it is known whether it took effect.
    fn resolve_pending(&mut self, ledger: &PermitLedger) {
        let applied_serial = ledger.accounts.get(&self.me).map_or(0, |account| account.serial);
        // The commit compares against the ledger of the base epoch: once the
        // ledger has a later epoch without this adjustment, the adjustment can
        // no longer take effect.
        let is_resolved = |base_epoch| applied_serial >= self.serial || self.epoch > base_epoch;
        if self.pending.as_ref().is_some_and(|pending| is_resolved(pending.base_epoch)) {
            self.release_reserved();
        }
    }

    /// Forgets the pending adjustment and makes the permits usable that were
    /// reserved for its return.
    pub(super) fn release_reserved(&mut self) {
        self.pending = None;
        for holding in self.holdings.values_mut() {
            holding.pending_return = Permits::ZERO;
        }
    }

    /// Adds counters for new members, freezes those of members whose accounts are
    /// closed, and removes those whose balances the ledger has recorded. All
    /// counters are frozen if this member's own account is not open.
    fn refresh_peers(&mut self, ledger: &PermitLedger) {
        if !self.open {
            self.peers.values_mut().for_each(|counters| counters.frozen = true);
            return;
        }
        for (member, account) in &ledger.accounts {
            if *member == self.me {
                continue;
            }
            if account.is_open() {
                self.peers.entry(member.clone()).or_default();
            } else if account.is_unsettled(&self.me) {
                self.peers.entry(member.clone()).or_default().frozen = !F::RECEIVE_AFTER_CLOSE;
            } else if !F::KEEP_SETTLED {
                self.peers.remove(member);
            }
        }
        if !F::KEEP_SETTLED {
            self.peers.retain(|member, _| ledger.accounts.contains_key(member));
        }
        self.peer_hints
            .retain(|member, _| self.peers.get(member).is_some_and(|counters| !counters.frozen));
    }

    /// Updates each team's holding from the ledger and the transfer counters, and
    /// removes empty holdings.
    fn refresh_holdings(&mut self, ledger: &PermitLedger) {
        let own = ledger.accounts.get(&self.me);
        let balances = self.transfer_balances();
        let teams: BTreeSet<TeamId> = (ledger.limits.keys())
            .chain(own.into_iter().flat_map(|account| account.grants.keys()))
            .chain(balances.keys())
            .chain(self.holdings.keys())
            .cloned()
            .collect();
        for team in teams {
            let holding = self.holdings.entry(team.clone()).or_default();
            holding.limit = ledger.limits.get(&team).copied();
            holding.over_limit = ledger.excess(&team) > Permits::ZERO;
            holding.granted = own.map(|account| account.grant(&team)).unwrap_or_default();
            holding.net_received = balances.get(&team).copied().unwrap_or_default();
        }
        self.holdings.retain(|_, holding: &mut Holding| !holding.is_empty());
    }

    /// Returns the permits received less those sent over all peers, by team.
    fn transfer_balances(&self) -> BTreeMap<TeamId, Balance> {
        let mut sums: BTreeMap<TeamId, Balance> = BTreeMap::new();
        for (team, balance) in self.peers.values().flat_map(|counters| counters.balances()) {
            *sums.entry(team).or_default() += balance;
        }
        sums
    }
}
