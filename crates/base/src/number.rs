//! Counters, sizes and rates as types of their own.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sub, SubAssign, Sum};
use serde::{Deserialize, Serialize};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            Display, FromStr, From, Into, Add, AddAssign, Sub, SubAssign, Sum,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Zero.
            pub const ZERO: $name = $name(0);

            /// Returns the number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next number, or the same one at the end of the range.
            #[must_use]
            pub const fn next(self) -> $name {
                $name(self.0.saturating_add(1))
            }

            /// Subtracts, and stops at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: $name) -> $name {
                $name(self.0.saturating_sub(other.0))
            }
        }
    )*};
}

numbers! {
    /// A revision of the two lists; grows with each accepted change.
    Revision(u64);
    /// A fence: a holder with a lower epoch may not write any more.
    Epoch(u64);
    /// One start of a process; a later start has a higher number.
    Incarnation(u64);
    /// Rights of a team to run one more call or job slot.
    Permits(u32);
    /// Places at an endpoint instance where a call can run.
    Slots(u32);
    /// A team's weight when a pool is full; only its ratio to others counts.
    Share(u32);
}
