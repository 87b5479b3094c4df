//! Signed amounts of permits.

use std::ops::Neg;

use derive_more::{Add, AddAssign, Display, Sub, SubAssign, Sum};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// A signed amount of permits: those granted to a member less those that it has
/// returned, or those received from a peer less those sent to it.
///
/// A member that receives permits from a peer and returns them to the ledger
/// can have a negative balance of granted permits. The balance of the sending
/// peer stays higher by the same amount, and only the sum over all members has
/// to stay within the limit.
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
    /// An amount of no permits.
    pub const ZERO: Balance = Balance(0);

    /// Returns the amount as permits, zero if the balance is negative.
    pub fn permits(self) -> Permits {
        Permits(u32::try_from(self.0.max(0)).unwrap_or(u32::MAX))
    }
}

impl From<Permits> for Balance {
    fn from(permits: Permits) -> Balance {
        Balance(i64::from(permits.get()))
    }
}

impl Neg for Balance {
    type Output = Balance;

    fn neg(self) -> Balance {
        Balance(-self.0)
    }
}
