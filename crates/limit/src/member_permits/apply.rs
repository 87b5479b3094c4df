//! Taking in a new state of the book.

use std::collections::{BTreeMap, BTreeSet};

use vg_base::prelude::*;

use crate::faults::PermitFaults;
use crate::{Balance, Holding, MemberPermits, PermitLedger};

impl<F: PermitFaults> MemberPermits<F> {
    /// Takes in the book as of an epoch. An earlier epoch has no effect.
    pub fn apply(&mut self, epoch: Epoch, book: &PermitLedger) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        self.open = book.accounts.get(&self.me).is_some_and(|account| account.is_open());
        self.resolve_pending(book);
        self.refresh_pairs(book);
        self.refresh_holdings(book);
    }

    /// Settles whether the adjustment in doubt took effect.
    fn resolve_pending(&mut self, book: &PermitLedger) {
        let serial = book.accounts.get(&self.me).map_or(0, |account| account.serial);
        // The commit compares with the revision of `base`: once the book has
        // moved on without this adjustment, it can't take effect any more.
        let settled = |base| serial >= self.serial || self.epoch > base;
        if self.pending.as_ref().is_some_and(|pending| settled(pending.base)) {
            self.release_reserved();
        }
    }

    pub(super) fn release_reserved(&mut self) {
        self.pending = None;
        for holding in self.holdings.values_mut() {
            holding.returning = Units::ZERO;
        }
    }

    /// Opens pairs with new members, freezes those with closed ones, and drops
    /// those whose balance the book has taken over.
    fn refresh_pairs(&mut self, book: &PermitLedger) {
        if !self.open {
            self.pairs.values_mut().for_each(|pair| pair.frozen = true);
            return;
        }
        for (member, account) in &book.accounts {
            if *member == self.me {
                continue;
            }
            if account.is_open() {
                self.pairs.entry(member.clone()).or_default();
            } else if account.awaits(&self.me) {
                self.pairs.entry(member.clone()).or_default().frozen = !F::RECEIVE_AFTER_CLOSE;
            } else if !F::KEEP_SETTLED {
                self.pairs.remove(member);
            }
        }
        if !F::KEEP_SETTLED {
            self.pairs.retain(|member, _| book.accounts.contains_key(member));
        }
        self.advice.retain(|member, _| self.pairs.get(member).is_some_and(|pair| !pair.frozen));
    }

    fn refresh_holdings(&mut self, book: &PermitLedger) {
        let own = book.accounts.get(&self.me);
        let nets = self.nets();
        let teams: BTreeSet<TeamId> = (book.limits.keys())
            .chain(own.into_iter().flat_map(|account| account.grants.keys()))
            .chain(nets.keys())
            .chain(self.holdings.keys())
            .cloned()
            .collect();
        for team in teams {
            let holding = self.holdings.entry(team.clone()).or_default();
            holding.limit = book.limits.get(&team).copied();
            holding.over = book.excess(&team) > Units::ZERO;
            holding.granted = own.map(|account| account.grant(&team)).unwrap_or_default();
            holding.net = nets.get(&team).copied().unwrap_or_default();
        }
        self.holdings.retain(|_, holding: &mut Holding| !holding.is_blank());
    }

    fn nets(&self) -> BTreeMap<TeamId, Balance> {
        let mut sums: BTreeMap<TeamId, Balance> = BTreeMap::new();
        for (team, net) in self.pairs.values().flat_map(|pair| pair.nets()) {
            *sums.entry(team).or_default() += net;
        }
        sums
    }
}
