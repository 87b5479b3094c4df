//! Changes of the book that a member proposes for its own units.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::Balance;

/// Takes free units and gives back idle ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adjust {
    /// The member whose account changes.
    pub by: Member,
    /// Greater than that of each earlier adjustment; makes it idempotent.
    pub serial: u64,
    /// Units that the member has already stopped using.
    pub give: BTreeMap<TeamId, Units>,
    /// Units wanted out of the free ones.
    pub take: BTreeMap<TeamId, Units>,
}

/// Moves what passed between a member and a closed account to the book.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settle {
    /// The member that settles.
    pub by: Member,
    /// The member whose account is closed.
    pub dead: Member,
    /// Units received from the closed account less units sent to it.
    pub nets: BTreeMap<TeamId, Balance>,
}

/// A change of the book that a ledger proposes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnitChange {
    /// Takes free units and gives back idle ones.
    Adjust(Adjust),
    /// Settles with a closed account.
    Settle(Settle),
}
