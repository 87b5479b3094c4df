//! Ids of changes of the lists.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A random number that identifies one attempt to change the lists.
///
/// If the store's answer to an attempt was lost, a search for this id finds out
/// whether the attempt took effect. The attempt itself is never written again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ChangeId(u128);

/// The error for a text that is not the id of a change.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("the id of a change is 32 hexadecimal digits"))]
pub struct ChangeIdError;

impl ChangeId {
    /// Makes an id from a random number that was never used before.
    pub const fn new(random: u128) -> ChangeId {
        ChangeId(random)
    }
}

impl FromStr for ChangeId {
    type Err = ChangeIdError;

    fn from_str(text: &str) -> Result<ChangeId, ChangeIdError> {
        if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(ChangeIdError);
        }
        u128::from_str_radix(text, 16).map(ChangeId).map_err(|_| ChangeIdError)
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(text: String) -> Result<ChangeId, ChangeIdError> {
        text.parse()
    }
}

impl From<ChangeId> for String {
    fn from(change: ChangeId) -> String {
        change.to_string()
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ChangeId({self})")
    }
}
