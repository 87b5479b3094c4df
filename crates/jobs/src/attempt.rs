//! The number of a job's attempt.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

/// The number of an attempt to run a job, which is also the fencing token of the
/// messages about it.
///
/// A worker rejects an attempt of a job that is lower than the highest one it was asked
/// about, and a shard rejects a report about an earlier attempt.
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
    /// The job has had no attempt yet.
    pub const NONE: Attempt = Attempt(0);

    /// Returns the next attempt.
    #[must_use]
    pub const fn next(self) -> Attempt {
        Attempt(self.0.saturating_add(1))
    }
}
