//! The split of every limit into grants to members.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::faults::PermitFaults;
use crate::{Account, Balance, GrantAdjustment, LedgerChange, LedgerError, Settlement};

/// The part of the book that splits limits into grants.
///
/// Every change keeps the sum of a team's grants within its limit, or within
/// the earlier sum while a lowered limit is not yet reached. A failed change
/// may leave a part of it behind: apply to a copy.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitLedger {
    /// Revision of the lists that the limits are from.
    pub revision: Revision,
    /// Upper limits by team.
    pub limits: BTreeMap<TeamId, Units>,
    /// Accounts by member, also of lost members until they are reclaimed.
    pub accounts: BTreeMap<Member, Account>,
}

impl PermitLedger {
    /// Returns the sum of a team's grants over all accounts.
    pub fn granted(&self, team: &TeamId) -> Balance {
        self.accounts.values().map(|account| account.grant(team)).sum()
    }

    /// Returns a team's limit; zero if the lists don't name it.
    pub fn limit(&self, team: &TeamId) -> Units {
        self.limits.get(team).copied().unwrap_or_default()
    }

    /// Returns the units of a team that are granted to nobody.
    pub fn free(&self, team: &TeamId) -> Units {
        (Balance::from(self.limit(team)) - self.granted(team)).units()
    }

    /// Returns the units that are granted beyond a lowered limit.
    pub fn excess(&self, team: &TeamId) -> Units {
        (self.granted(team) - self.limit(team).into()).units()
    }

    /// Returns the number of open accounts.
    pub fn open_accounts(&self) -> usize {
        self.accounts.values().filter(|account| account.is_open()).count()
    }

    /// Opens the account of a member that joins.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Exists`] if it has one.
    pub fn open_account(&mut self, member: &Member) -> Result<(), LedgerError> {
        if self.accounts.contains_key(member) {
            return Err(LedgerError::Exists { member: member.clone() });
        }
        self.accounts.insert(member.clone(), Account::default());
        Ok(())
    }

    /// Closes an account; from here on its member's units only go out of use.
    ///
    /// # Errors
    ///
    /// [`LedgerError::NoAccount`] or [`LedgerError::Closed`].
    pub fn close_account(&mut self, member: &Member) -> Result<(), LedgerError> {
        let open = self.accounts.iter().filter(|(_, account)| account.is_open());
        let others = open.map(|(each, _)| each).filter(|&each| each != member);
        let others = others.cloned().collect();
        self.find_open(member)?.unsettled = Some(others);
        Ok(())
    }

    /// Takes over the limits of a revision of the lists.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Older`] if the book has later limits.
    pub fn set_limits(
        &mut self,
        revision: Revision,
        limits: BTreeMap<TeamId, Units>,
    ) -> Result<(), LedgerError> {
        if revision < self.revision {
            return Err(LedgerError::Older { offered: revision, known: self.revision });
        }
        self.revision = revision;
        self.limits = limits;
        Ok(())
    }

    /// Makes a change that a ledger has proposed.
    ///
    /// # Errors
    ///
    /// Those of [`PermitLedger::adjust`] and [`PermitLedger::settle`].
    pub fn apply_change<F: PermitFaults>(
        &mut self,
        change: &LedgerChange,
    ) -> Result<(), LedgerError> {
        match change {
            LedgerChange::Adjust(adjust) => self.adjust(adjust),
            LedgerChange::Settle(settle) => self.settle::<F>(settle),
        }
    }

    /// Takes free units and gives back idle ones.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Repeated`], [`LedgerError::NotFree`], or the account is not open.
    pub fn adjust(&mut self, adjust: &GrantAdjustment) -> Result<(), LedgerError> {
        let account = self.find_open(&adjust.member)?;
        if adjust.serial <= account.serial {
            return Err(LedgerError::Repeated {
                member: adjust.member.clone(),
                serial: adjust.serial,
            });
        }
        account.serial = adjust.serial;
        for (team, &units) in &adjust.returned {
            account.add(team, -Balance::from(units));
        }
        for (team, &units) in &adjust.requested {
            self.take(&adjust.member, team, units)?;
        }
        Ok(())
    }

    /// Moves what passed between a member and a closed account to the book.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Settled`], [`LedgerError::Open`], or an account is missing.
    pub fn settle<F: PermitFaults>(&mut self, settle: &Settlement) -> Result<(), LedgerError> {
        let Settlement { member, closed, balances } = settle;
        self.find_open(member)?;
        let lost = self.account(closed)?;
        let Some(waiting) = &mut lost.unsettled else {
            return Err(LedgerError::Open { member: closed.clone() });
        };
        if !waiting.remove(member) && !F::SETTLE_TWICE {
            return Err(LedgerError::Settled { by: member.clone(), dead: closed.clone() });
        }
        for (team, &net) in balances {
            lost.add(team, -net);
        }
        let own = self.account(member)?;
        for (team, &net) in balances {
            own.add(team, net);
        }
        Ok(())
    }

    /// Returns the closed accounts that have to be reclaimed together with
    /// `member`: those between which units may have passed unsettled.
    pub fn linked_accounts(&self, member: &Member) -> BTreeSet<Member> {
        let mut found = BTreeSet::from([member.clone()]);
        loop {
            let linked = |each: &Member| found.iter().any(|other| self.link(each, other));
            let more = self.accounts.keys().find(|each| !found.contains(*each) && linked(each));
            match more.cloned() {
                Some(next) => found.insert(next),
                None => return found,
            };
        }
    }

    /// Frees the grants of closed accounts whose members can't run anything
    /// any more, and drops the accounts.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Unsettled`] if `dead` leaves out a linked account.
    pub fn reclaim<F: PermitFaults>(&mut self, dead: &BTreeSet<Member>) -> Result<(), LedgerError> {
        for each in dead {
            if self.account(each)?.is_open() {
                return Err(LedgerError::Open { member: each.clone() });
            }
            let missing =
                self.linked_accounts(each).into_iter().find(|other| !dead.contains(other));
            if let Some(with) = missing.filter(|_| !F::RECLAIM_ALONE) {
                return Err(LedgerError::Unsettled { dead: each.clone(), with });
            }
        }
        self.accounts.retain(|member, _| !dead.contains(member));
        Ok(())
    }

    fn link(&self, a: &Member, b: &Member) -> bool {
        let awaits = |one: &Member, other| {
            self.accounts.get(one).is_some_and(|account| account.awaits(other))
        };
        awaits(a, b) || awaits(b, a)
    }

    fn take(&mut self, by: &Member, team: &TeamId, wanted: Units) -> Result<(), LedgerError> {
        let free = self.free(team);
        if wanted > free {
            return Err(LedgerError::NotFree { team: team.clone(), wanted, free });
        }
        self.find_open(by)?.add(team, wanted.into());
        Ok(())
    }

    fn account(&mut self, member: &Member) -> Result<&mut Account, LedgerError> {
        let account = self.accounts.get_mut(member);
        account.ok_or_else(|| LedgerError::NoAccount { member: member.clone() })
    }

    fn find_open(&mut self, member: &Member) -> Result<&mut Account, LedgerError> {
        let account = self.account(member)?;
        if account.is_open() {
            Ok(account)
        } else {
            Err(LedgerError::Closed { member: member.clone() })
        }
    }
}
