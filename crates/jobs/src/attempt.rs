//! The number of a job's attempt.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// One try to run a job; the fence of its messages.
///
/// A worker refuses an attempt lower than the highest one it was asked about,
/// and a report of an earlier attempt is refused.
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
    FromStr,
    From,
    Into,
)]
#[serde(transparent)]
pub struct Attempt(pub u32);

impl Attempt {
    /// No attempt yet.
    pub const NONE: Attempt = Attempt(0);

    /// Returns the next attempt.
    #[must_use]
    pub const fn next(self) -> Attempt {
        Attempt(self.0.saturating_add(1))
    }
}
