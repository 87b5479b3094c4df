//! Changes of the permit ledger that a member proposes.

use std::collections::BTreeMap;

use vg_base::prelude::*;

use super::PendingAdjustment;
use crate::faults::PermitFaults;
use crate::{GrantAdjustment, Holding, LedgerChange, MemberPermits, PermitLedger, Settlement};

impl<F: PermitFaults> MemberPermits<F> {
    /// Returns the changes that this member proposes for the ledger as of `epoch`.
    /// There are none if `epoch` is not the epoch that was applied last, or if this
    /// member's account is not open.
    ///
    /// The caller commits all of them in one compare-and-swap against exactly
    /// that ledger. Permits to be returned are not used from now on. While the
    /// outcome is unknown, the same adjustment is returned again.
    pub fn propose_changes(&mut self, epoch: Epoch, ledger: &PermitLedger) -> Vec<LedgerChange> {
        if !self.open || epoch != self.epoch {
            return Vec::new();
        }
        let mut changes = self.settlements(ledger);
        changes.extend(self.adjustment(ledger).map(LedgerChange::Adjust));
        changes
    }

    /// Returns a settlement for each closed account that waits for this member.
    fn settlements(&self, ledger: &PermitLedger) -> Vec<LedgerChange> {
        let unsettled =
            ledger.accounts.iter().filter(|(_, account)| account.is_unsettled(&self.me));
        let settle = |closed: &Member| Settlement {
            member: self.me.clone(),
            closed: closed.clone(),
            balances: self
                .peers
                .get(closed)
                .map(|counters| counters.balances())
                .unwrap_or_default(),
        };
        unsettled.map(|(closed, _)| LedgerChange::Settle(settle(closed))).collect()
    }

    /// Returns the pending adjustment, or else a new one if any permits are to be
    /// returned or requested.
    fn adjustment(&mut self, ledger: &PermitLedger) -> Option<GrantAdjustment> {
        if let Some(pending) = &self.pending {
            return Some(pending.adjustment.clone());
        }
        let returned = self.to_return(ledger);
        let requested = if self.leaving { BTreeMap::new() } else { self.to_request(ledger) };
        if returned.is_empty() && requested.is_empty() {
            return None;
        }
        if !F::FORGET_RETURN {
            for (team, &permits) in &returned {
                self.holdings.entry(team.clone()).or_default().pending_return = permits;
            }
        }
        self.serial += 1;
        let adjustment =
            GrantAdjustment { member: self.me.clone(), serial: self.serial, returned, requested };
        self.pending =
            Some(PendingAdjustment { adjustment: adjustment.clone(), base_epoch: self.epoch });
        Some(adjustment)
    }

    /// Computes the permits to return, by team: idle ones beyond a lowered limit,
    /// or all idle ones if this member is leaving.
    fn to_return(&self, ledger: &PermitLedger) -> BTreeMap<TeamId, Permits> {
        let permits = |team: &TeamId, holding: &Holding| {
            let usable = if F::RETURN_RUNNING { holding.held() } else { holding.idle() };
            if self.leaving { usable } else { usable.min(ledger.excess(team)) }
        };
        let each =
            self.holdings.iter().map(|(team, holding)| (team.clone(), permits(team, holding)));
        each.filter(|(_, permits)| *permits > Permits::ZERO).collect()
    }

    /// Computes the ungranted permits to request, by team: enough for an even share
    /// of each limit, and more if waiting work needs them.
    fn to_request(&self, ledger: &PermitLedger) -> BTreeMap<TeamId, Permits> {
        let members = u32::try_from(ledger.open_accounts().max(1)).unwrap_or(u32::MAX);
        let permits = |team: &TeamId, limit: Permits| {
            let own = self.holdings.get(team).cloned().unwrap_or_default();
            let even_share = Permits(limit.get() / members).saturating_sub(own.held());
            let missing = own.wanted.saturating_sub(own.idle());
            even_share.max(missing).min(ledger.free(team))
        };
        let each = ledger.limits.iter().map(|(team, &limit)| (team.clone(), permits(team, limit)));
        each.filter(|(_, permits)| *permits > Permits::ZERO).collect()
    }
}
