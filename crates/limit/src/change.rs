//! Changes of the book that a member proposes for its own units.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::Balance;

/// Takes free units and gives back idle ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantAdjustment {
    /// The member whose account changes.
    #[serde(rename = "by")]
    pub member: Member,
    /// Greater than that of each earlier adjustment; makes it idempotent.
    pub serial: u64,
    /// Units that the member has already stopped using.
    #[serde(rename = "give")]
    pub returned: BTreeMap<TeamId, Units>,
    /// Units wanted out of the free ones.
    #[serde(rename = "take")]
    pub requested: BTreeMap<TeamId, Units>,
}

/// Moves what passed between a member and a closed account to the book.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The member that settles.
    #[serde(rename = "by")]
    pub member: Member,
    /// The member whose account is closed.
    #[serde(rename = "dead")]
    pub closed: Member,
    /// Units received from the closed account less units sent to it.
    #[serde(rename = "nets")]
    pub balances: BTreeMap<TeamId, Balance>,
}

/// A change of the book that a ledger proposes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerChange {
    /// Takes free units and gives back idle ones.
    Adjust(GrantAdjustment),
    /// Settles with a closed account.
    Settle(Settlement),
}
