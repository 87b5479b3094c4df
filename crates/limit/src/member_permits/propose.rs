//! What a member asks of the book.

use std::collections::BTreeMap;

use vg_base::prelude::*;

use super::Pending;
use crate::faults::PermitFaults;
use crate::{GrantAdjustment, Holding, LedgerChange, MemberPermits, PermitLedger, Settlement};

impl<F: PermitFaults> MemberPermits<F> {
    /// Returns the changes that this member wants made to the book as of
    /// `epoch`; none if it has not applied just that one.
    ///
    /// The caller commits all of them in one compare-and-swap against exactly
    /// that book. Units to be given back are out of use from now on; while the
    /// outcome is unknown the same changes are returned again.
    pub fn propose_changes(&mut self, epoch: Epoch, book: &PermitLedger) -> Vec<LedgerChange> {
        if !self.open || epoch != self.epoch {
            return Vec::new();
        }
        let mut changes = self.settlements(book);
        changes.extend(self.adjustment(book).map(LedgerChange::Adjust));
        changes
    }

    fn settlements(&self, book: &PermitLedger) -> Vec<LedgerChange> {
        let waiting = book.accounts.iter().filter(|(_, account)| account.awaits(&self.me));
        let settle = |dead: &Member| Settlement {
            member: self.me.clone(),
            closed: dead.clone(),
            balances: self.pairs.get(dead).map(|pair| pair.nets()).unwrap_or_default(),
        };
        waiting.map(|(dead, _)| LedgerChange::Settle(settle(dead))).collect()
    }

    fn adjustment(&mut self, book: &PermitLedger) -> Option<GrantAdjustment> {
        if let Some(pending) = &self.pending {
            return Some(pending.adjust.clone());
        }
        let give = self.to_give(book);
        let take = if self.leaving { BTreeMap::new() } else { self.to_take(book) };
        if give.is_empty() && take.is_empty() {
            return None;
        }
        if !F::FORGET_RETURN {
            for (team, &units) in &give {
                self.holdings.entry(team.clone()).or_default().returning = units;
            }
        }
        self.serial += 1;
        let adjust = GrantAdjustment {
            member: self.me.clone(),
            serial: self.serial,
            returned: give,
            requested: take,
        };
        self.pending = Some(Pending { adjust: adjust.clone(), base: self.epoch });
        Some(adjust)
    }

    /// Idle units beyond a lowered limit; all idle ones of a leaving member.
    fn to_give(&self, book: &PermitLedger) -> BTreeMap<TeamId, Units> {
        let units = |team: &TeamId, holding: &Holding| {
            let usable = if F::RETURN_RUNNING { holding.held() } else { holding.idle() };
            if self.leaving { usable } else { usable.min(book.excess(team)) }
        };
        let each = self.holdings.iter().map(|(team, holding)| (team.clone(), units(team, holding)));
        each.filter(|(_, units)| *units > Units::ZERO).collect()
    }

    /// Free units: an even part without being asked, more for waiting work.
    fn to_take(&self, book: &PermitLedger) -> BTreeMap<TeamId, Units> {
        let members = u32::try_from(book.open_accounts().max(1)).unwrap_or(u32::MAX);
        let units = |team: &TeamId, limit: Units| {
            let own = self.holdings.get(team).cloned().unwrap_or_default();
            let even = Units(limit.get() / members).saturating_sub(own.held());
            let missing = own.wanted.saturating_sub(own.idle());
            even.max(missing).min(book.free(team))
        };
        let each = book.limits.iter().map(|(team, &limit)| (team.clone(), units(team, limit)));
        each.filter(|(_, units)| *units > Units::ZERO).collect()
    }
}
