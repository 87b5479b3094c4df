//! One member's account in the book.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::Balance;

/// What the book knows of one member's units.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Serial number of the member's last adjustment that took effect.
    pub serial: u64,
    /// Granted units by team, without those that are zero.
    pub grants: BTreeMap<TeamId, Balance>,
    /// Set once the account is closed: the members that were open then and
    /// have not settled since.
    pub unsettled: Option<BTreeSet<Member>>,
}

impl Account {
    /// Whether the member may still exchange units.
    pub fn is_open(&self) -> bool {
        self.unsettled.is_none()
    }

    /// Whether the account is closed and `peer` has yet to settle with it.
    pub fn awaits(&self, peer: &Member) -> bool {
        self.unsettled.as_ref().is_some_and(|waiting| waiting.contains(peer))
    }

    /// Returns the grant for a team.
    pub fn grant(&self, team: &TeamId) -> Balance {
        self.grants.get(team).copied().unwrap_or_default()
    }

    pub(crate) fn add(&mut self, team: &TeamId, amount: Balance) {
        let sum = self.grant(team) + amount;
        if sum == Balance::ZERO {
            self.grants.remove(team);
        } else {
            self.grants.insert(team.clone(), sum);
        }
    }
}
