//! Newtypes for counters, sizes and weights, which keep them from being mixed up.

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
            /// The value zero.
            pub const ZERO: $name = $name(0);

            /// Returns the number.
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Returns the next number, or the same number at the maximum.
            #[must_use]
            pub const fn next(self) -> $name {
                $name(self.0.saturating_add(1))
            }

            /// Subtracts `other`; the result is never below zero.
            #[must_use]
            pub const fn saturating_sub(self, other: $name) -> $name {
                $name(self.0.saturating_sub(other.0))
            }
        }
    )*};
}

numbers! {
    /// A revision of the two lists. It increases with each accepted change.
    Revision(u64);
    /// The number of an ownership term, used as a fencing token: a holder with a
    /// lower epoch must not write any more.
    Epoch(u64);
    /// One run of a process, from its start to its end. A later start has a
    /// higher number.
    Incarnation(u64);
    /// Quota permits of a team. Each permits the team to run one more call or job
    /// slot.
    Permits(u32);
    /// Slots of an endpoint instance. Each slot can run one call at a time.
    Slots(u32);
    /// A team's scheduling weight when a pool is full. Only its ratio to the
    /// weights of other teams matters.
    Share(u32);
}
