//! The split of every limit into grants to members.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::faults::UnitFaults;
use crate::{Account, Adjust, Balance, Settle, UnitChange, UnitError};

/// The part of the book that splits limits into grants.
///
/// Every change keeps the sum of a team's grants within its limit, or within
/// the earlier sum while a lowered limit is not yet reached. A failed change
/// may leave a part of it behind: apply to a copy.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitBook {
    /// Revision of the lists that the limits are from.
    pub revision: Revision,
    /// Upper limits by team.
    pub limits: BTreeMap<TeamId, Units>,
    /// Accounts by member, also of lost members until they are reclaimed.
    pub accounts: BTreeMap<Member, Account>,
}

impl UnitBook {
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
    /// [`UnitError::Exists`] if it has one.
    pub fn open(&mut self, member: &Member) -> Result<(), UnitError> {
        if self.accounts.contains_key(member) {
            return Err(UnitError::Exists { member: member.clone() });
        }
        self.accounts.insert(member.clone(), Account::default());
        Ok(())
    }

    /// Closes an account; from here on its member's units only go out of use.
    ///
    /// # Errors
    ///
    /// [`UnitError::NoAccount`] or [`UnitError::Closed`].
    pub fn close(&mut self, member: &Member) -> Result<(), UnitError> {
        let open = self.accounts.iter().filter(|(_, account)| account.is_open());
        let others = open.map(|(each, _)| each).filter(|&each| each != member);
        let others = others.cloned().collect();
        self.open_account(member)?.unsettled = Some(others);
        Ok(())
    }

    /// Takes over the limits of a revision of the lists.
    ///
    /// # Errors
    ///
    /// [`UnitError::Older`] if the book has later limits.
    pub fn set_limits(
        &mut self,
        revision: Revision,
        limits: BTreeMap<TeamId, Units>,
    ) -> Result<(), UnitError> {
        if revision < self.revision {
            return Err(UnitError::Older { offered: revision, known: self.revision });
        }
        self.revision = revision;
        self.limits = limits;
        Ok(())
    }

    /// Makes a change that a ledger has proposed.
    ///
    /// # Errors
    ///
    /// Those of [`UnitBook::adjust`] and [`UnitBook::settle`].
    pub fn change<F: UnitFaults>(&mut self, change: &UnitChange) -> Result<(), UnitError> {
        match change {
            UnitChange::Adjust(adjust) => self.adjust(adjust),
            UnitChange::Settle(settle) => self.settle::<F>(settle),
        }
    }

    /// Takes free units and gives back idle ones.
    ///
    /// # Errors
    ///
    /// [`UnitError::Repeated`], [`UnitError::NotFree`], or the account is not open.
    pub fn adjust(&mut self, adjust: &Adjust) -> Result<(), UnitError> {
        let account = self.open_account(&adjust.by)?;
        if adjust.serial <= account.serial {
            return Err(UnitError::Repeated { member: adjust.by.clone(), serial: adjust.serial });
        }
        account.serial = adjust.serial;
        for (team, &units) in &adjust.give {
            account.add(team, -Balance::from(units));
        }
        for (team, &units) in &adjust.take {
            self.take(&adjust.by, team, units)?;
        }
        Ok(())
    }

    /// Moves what passed between a member and a closed account to the book.
    ///
    /// # Errors
    ///
    /// [`UnitError::Settled`], [`UnitError::Open`], or an account is missing.
    pub fn settle<F: UnitFaults>(&mut self, settle: &Settle) -> Result<(), UnitError> {
        let Settle { by, dead, nets } = settle;
        self.open_account(by)?;
        let lost = self.account(dead)?;
        let Some(waiting) = &mut lost.unsettled else {
            return Err(UnitError::Open { member: dead.clone() });
        };
        if !waiting.remove(by) && !F::SETTLE_TWICE {
            return Err(UnitError::Settled { by: by.clone(), dead: dead.clone() });
        }
        for (team, &net) in nets {
            lost.add(team, -net);
        }
        let own = self.account(by)?;
        for (team, &net) in nets {
            own.add(team, net);
        }
        Ok(())
    }

    /// Returns the closed accounts that have to be reclaimed together with
    /// `member`: those between which units may have passed unsettled.
    pub fn linked(&self, member: &Member) -> BTreeSet<Member> {
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
    /// [`UnitError::Unsettled`] if `dead` leaves out a linked account.
    pub fn reclaim<F: UnitFaults>(&mut self, dead: &BTreeSet<Member>) -> Result<(), UnitError> {
        for each in dead {
            if self.account(each)?.is_open() {
                return Err(UnitError::Open { member: each.clone() });
            }
            let missing = self.linked(each).into_iter().find(|other| !dead.contains(other));
            if let Some(with) = missing.filter(|_| !F::RECLAIM_ALONE) {
                return Err(UnitError::Unsettled { dead: each.clone(), with });
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

    fn take(&mut self, by: &Member, team: &TeamId, wanted: Units) -> Result<(), UnitError> {
        let free = self.free(team);
        if wanted > free {
            return Err(UnitError::NotFree { team: team.clone(), wanted, free });
        }
        self.open_account(by)?.add(team, wanted.into());
        Ok(())
    }

    fn account(&mut self, member: &Member) -> Result<&mut Account, UnitError> {
        let account = self.accounts.get_mut(member);
        account.ok_or_else(|| UnitError::NoAccount { member: member.clone() })
    }

    fn open_account(&mut self, member: &Member) -> Result<&mut Account, UnitError> {
        let account = self.account(member)?;
        if account.is_open() {
            Ok(account)
        } else {
            Err(UnitError::Closed { member: member.clone() })
        }
    }
}
