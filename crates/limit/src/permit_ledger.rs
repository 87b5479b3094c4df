//! The split of each team's limit into grants to members.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::faults::PermitFaults;
use crate::{Account, Balance, GrantAdjustment, LedgerChange, LedgerError, Settlement};

/// The part of the cluster state that splits limits into grants.
///
/// Every change keeps the sum of a team's grants within its limit, or within
/// the earlier sum while a lowered limit is not yet reached. A change that fails
/// may have been applied in part, so callers apply changes to a copy.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitLedger {
    /// Revision of the operators' lists that the limits come from.
    pub revision: Revision,
    /// Upper limits by team.
    pub limits: BTreeMap<TeamId, Permits>,
    /// Accounts by member. The accounts of lost members stay until they are
    /// reclaimed.
    pub accounts: BTreeMap<Member, Account>,
}

impl PermitLedger {
    /// Returns the sum of a team's grants over all accounts.
    pub fn granted(&self, team: &TeamId) -> Balance {
        self.accounts.values().map(|account| account.grant(team)).sum()
    }

    /// Returns a team's limit, zero if the lists do not name the team.
    pub fn limit(&self, team: &TeamId) -> Permits {
        self.limits.get(team).copied().unwrap_or_default()
    }

    /// Returns the permits of a team that are granted to no member.
    pub fn free(&self, team: &TeamId) -> Permits {
        (Balance::from(self.limit(team)) - self.granted(team)).permits()
    }

    /// Returns the permits of a team that are granted beyond a lowered limit.
    pub fn excess(&self, team: &TeamId) -> Permits {
        (self.granted(team) - self.limit(team).into()).permits()
    }

    /// Returns the number of open accounts.
    pub fn open_accounts(&self) -> usize {
        self.accounts.values().filter(|account| account.is_open()).count()
    }

    /// Opens the account of a member that joins.
    ///
    /// # Errors
    ///
    /// [`LedgerError::AccountExists`] if the member has an account.
    pub fn open_account(&mut self, member: &Member) -> Result<(), LedgerError> {
        if self.accounts.contains_key(member) {
            return Err(LedgerError::AccountExists { member: member.clone() });
        }
        self.accounts.insert(member.clone(), Account::default());
        Ok(())
    }

    /// Closes an account. Its member receives no more permits, and only the runs that
    /// have started may use those that it holds.
    ///
    /// # Errors
    ///
    /// [`LedgerError::NoAccount`] or [`LedgerError::AccountClosed`].
    pub fn close_account(&mut self, member: &Member) -> Result<(), LedgerError> {
        let open = self.accounts.iter().filter(|(_, account)| account.is_open());
        let others = open.map(|(each, _)| each).filter(|&each| each != member);
        let others = others.cloned().collect();
        self.open_account_mut(member)?.unsettled = Some(others);
        Ok(())
    }

    /// Sets the limits from a revision of the operators' lists.
    ///
    /// # Errors
    ///
    /// [`LedgerError::StaleLimits`] if the ledger has limits of a later revision.
    pub fn set_limits(
        &mut self,
        revision: Revision,
        limits: BTreeMap<TeamId, Permits>,
    ) -> Result<(), LedgerError> {
        if revision < self.revision {
            return Err(LedgerError::StaleLimits { offered: revision, known: self.revision });
        }
        self.revision = revision;
        self.limits = limits;
        Ok(())
    }

    /// Applies a change that a member has proposed.
    ///
    /// # Errors
    ///
    /// Those of [`PermitLedger::adjust`] and [`PermitLedger::settle`].
    pub fn apply_change<F: PermitFaults>(
        &mut self,
        change: &LedgerChange,
    ) -> Result<(), LedgerError> {
        match change {
            LedgerChange::Adjust(adjustment) => self.adjust(adjustment),
            LedgerChange::Settle(settlement) => self.settle::<F>(settlement),
        }
    }

    /// Applies a member's return and request of permits.
    ///
    /// # Errors
    ///
    /// [`LedgerError::DuplicateAdjustment`], [`LedgerError::InsufficientPermits`],
    /// or that the account is missing or closed.
    pub fn adjust(&mut self, adjustment: &GrantAdjustment) -> Result<(), LedgerError> {
        let account = self.open_account_mut(&adjustment.member)?;
        if adjustment.serial <= account.serial {
            return Err(LedgerError::DuplicateAdjustment {
                member: adjustment.member.clone(),
                serial: adjustment.serial,
            });
        }
        account.serial = adjustment.serial;
        for (team, &permits) in &adjustment.returned {
            account.add_grant(team, -Balance::from(permits));
        }
        for (team, &permits) in &adjustment.requested {
            self.grant(&adjustment.member, team, permits)?;
        }
        Ok(())
    }

    /// Records the permits transferred between a member and a closed account: the
    /// balances move from the grants of the closed account to those of the member.
    ///
    /// # Errors
    ///
    /// [`LedgerError::AlreadySettled`], [`LedgerError::AccountOpen`] if the
    /// account to settle with is open, or that the member's account is closed or
    /// either account is missing.
    pub fn settle<F: PermitFaults>(&mut self, settlement: &Settlement) -> Result<(), LedgerError> {
        let Settlement { member, closed, balances } = settlement;
        self.open_account_mut(member)?;
        let closed_account = self.account_mut(closed)?;
        let Some(unsettled) = &mut closed_account.unsettled else {
            return Err(LedgerError::AccountOpen { member: closed.clone() });
        };
        if !unsettled.remove(member) && !F::SETTLE_TWICE {
            return Err(LedgerError::AlreadySettled {
                member: member.clone(),
                closed: closed.clone(),
            });
        }
        for (team, &balance) in balances {
            closed_account.add_grant(team, -balance);
        }
        let own = self.account_mut(member)?;
        for (team, &balance) in balances {
            own.add_grant(team, balance);
        }
        Ok(())
    }

    /// Returns the accounts that have to be reclaimed together with that of
    /// `member`, including it.
    ///
    /// Two accounts are linked if transfers between their members may not be
    /// settled; the result is closed under that relation.
    pub fn linked_accounts(&self, member: &Member) -> BTreeSet<Member> {
        let mut found = BTreeSet::from([member.clone()]);
        loop {
            let linked_to_found =
                |each: &Member| found.iter().any(|other| self.is_linked(each, other));
            let more =
                self.accounts.keys().find(|each| !found.contains(*each) && linked_to_found(each));
            match more.cloned() {
                Some(next) => found.insert(next),
                None => return found,
            };
        }
    }

    /// Removes closed accounts, which makes their grants available again. The
    /// caller has proof that their members cannot run any work.
    ///
    /// # Errors
    ///
    /// [`LedgerError::Unsettled`] if `closed` lacks an account that is linked to
    /// one of its accounts; [`LedgerError::AccountOpen`] or
    /// [`LedgerError::NoAccount`].
    pub fn reclaim<F: PermitFaults>(
        &mut self,
        closed: &BTreeSet<Member>,
    ) -> Result<(), LedgerError> {
        for each in closed {
            if self.account_mut(each)?.is_open() {
                return Err(LedgerError::AccountOpen { member: each.clone() });
            }
            let missing =
                self.linked_accounts(each).into_iter().find(|other| !closed.contains(other));
            if let Some(peer) = missing.filter(|_| !F::RECLAIM_ALONE) {
                return Err(LedgerError::Unsettled { closed: each.clone(), peer });
            }
        }
        self.accounts.retain(|member, _| !closed.contains(member));
        Ok(())
    }

    /// Whether one of the two accounts is closed and not settled with the other.
    fn is_linked(&self, a: &Member, b: &Member) -> bool {
        let unsettled_with = |one: &Member, other| {
            self.accounts.get(one).is_some_and(|account| account.is_unsettled(other))
        };
        unsettled_with(a, b) || unsettled_with(b, a)
    }

    /// Grants permits of a team that are granted to no member.
    fn grant(
        &mut self,
        member: &Member,
        team: &TeamId,
        wanted: Permits,
    ) -> Result<(), LedgerError> {
        let free = self.free(team);
        if wanted > free {
            return Err(LedgerError::InsufficientPermits { team: team.clone(), wanted, free });
        }
        self.open_account_mut(member)?.add_grant(team, wanted.into());
        Ok(())
    }

    fn account_mut(&mut self, member: &Member) -> Result<&mut Account, LedgerError> {
        let account = self.accounts.get_mut(member);
        account.ok_or_else(|| LedgerError::NoAccount { member: member.clone() })
    }

    fn open_account_mut(&mut self, member: &Member) -> Result<&mut Account, LedgerError> {
        let account = self.account_mut(member)?;
        if account.is_open() {
            Ok(account)
        } else {
            Err(LedgerError::AccountClosed { member: member.clone() })
        }
    }
}
