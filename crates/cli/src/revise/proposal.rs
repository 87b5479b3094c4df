//! A change of the lists before it is stored.

use vg_base::prelude::*;
use vg_conf::{ChangeId, StoredLists};

/// New texts of both lists, made from the revision `base`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The revision that was edited; 0: there was none.
    pub base: Revision,
    /// A revision that entry hosts have and the store has lost; the change
    /// becomes a later one. Usually 0.
    pub above: Revision,
    /// New text of `plans`.
    pub plans: String,
    /// New text of `uses`.
    pub uses: String,
    /// Mark of this attempt, random and never used again.
    pub change: ChangeId,
    /// Who makes the change.
    pub author: SmolStr,
    /// When, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

impl Proposal {
    /// Returns the revision that the change becomes.
    pub fn revision(&self) -> Revision {
        self.base.max(self.above).next()
    }

    /// Returns the value to store.
    pub(crate) fn stored(&self) -> StoredLists {
        StoredLists {
            revision: self.revision(),
            plans: self.plans.clone(),
            uses: self.uses.clone(),
            change: self.change,
            author: self.author.clone(),
            at_ms: self.at_ms,
        }
    }
}
