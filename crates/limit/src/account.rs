//! The permit ledger's account of one member.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::Balance;

/// The permits that the ledger has granted to one member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Serial number of the member's last grant adjustment that took effect.
    pub serial: u64,
    /// Granted permits by team. Teams with a balance of zero are left out.
    pub grants: BTreeMap<TeamId, Balance>,
    /// `None` while the account is open. When the account is closed, the set
    /// of members whose accounts were open at that time; each member is
    /// removed when it has settled with this account.
    pub unsettled: Option<BTreeSet<Member>>,
}

impl Account {
    /// Whether the member may still exchange permits.
    pub fn is_open(&self) -> bool {
        self.unsettled.is_none()
    }

    /// Whether the account is closed and `peer` has not settled with it yet.
    pub fn is_unsettled(&self, peer: &Member) -> bool {
        self.unsettled.as_ref().is_some_and(|waiting| waiting.contains(peer))
    }

    /// Returns the balance granted for a team, zero if there is none.
    pub fn grant(&self, team: &TeamId) -> Balance {
        self.grants.get(team).copied().unwrap_or_default()
    }

    /// Adds `amount`, which may be negative, to the grant of a team.
    pub(crate) fn add_grant(&mut self, team: &TeamId, amount: Balance) {
        let sum = self.grant(team) + amount;
        if sum == Balance::ZERO {
            self.grants.remove(team);
        } else {
            self.grants.insert(team.clone(), sum);
        }
    }
}
