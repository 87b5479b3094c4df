//! Signed amounts of units.

use std::ops::Neg;

use derive_more::{Add, AddAssign, Display, Sub, SubAssign, Sum};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Units that a member is granted, less what it gave back.
///
/// A member that receives units from a peer and returns them to the store has
/// a negative balance; the giver's balance is higher by as much. Only the sum
/// over members has to stay within the limit.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    Add,
    AddAssign,
    Sub,
    SubAssign,
    Sum,
)]
#[serde(transparent)]
pub struct Balance(pub i64);

impl Balance {
    /// Zero.
    pub const ZERO: Balance = Balance(0);

    /// Returns the amount as units, zero if it is negative.
    pub fn units(self) -> Units {
        Units(u32::try_from(self.0.max(0)).unwrap_or(u32::MAX))
    }
}

impl From<Units> for Balance {
    fn from(units: Units) -> Balance {
        Balance(i64::from(units.get()))
    }
}

impl Neg for Balance {
    type Output = Balance;

    fn neg(self) -> Balance {
        Balance(-self.0)
    }
}
