//! Changes of the permit ledger that a member proposes for its own account.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::Balance;

/// Requests ungranted permits and returns idle ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAdjustment {
    /// The member whose account changes.
    #[serde(rename = "by")]
    pub member: Member,
    /// Greater than the serial number of each earlier adjustment of the member,
    /// so that applying an adjustment twice is refused.
    pub serial: u64,
    /// Permits by team that the member returns and has already stopped using.
    #[serde(rename = "give")]
    pub returned: BTreeMap<TeamId, Permits>,
    /// Permits by team that the member wants from the ungranted ones.
    #[serde(rename = "take")]
    pub requested: BTreeMap<TeamId, Permits>,
}

/// Records in the ledger the permits that were transferred between a member and
/// a closed account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The member that settles.
    #[serde(rename = "by")]
    pub member: Member,
    /// The member whose account is closed.
    #[serde(rename = "dead")]
    pub closed: Member,
    /// Permits by team received from the closed account, less those sent to it.
    #[serde(rename = "nets")]
    pub balances: BTreeMap<TeamId, Balance>,
}

/// A change of the permit ledger that a member proposes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerChange {
    /// Requests ungranted permits and returns idle ones.
    Adjust(GrantAdjustment),
    /// Settles with a closed account.
    Settle(Settlement),
}
