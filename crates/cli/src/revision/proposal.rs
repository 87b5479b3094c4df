//! A proposed change of the lists.

use vg_base::prelude::*;
use vg_conf::{ChangeId, StoredLists};

/// New texts of both lists, made from the revision `base`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The revision that was edited, or 0 if there were no lists yet.
    pub base: Revision,
    /// The newest revision of the entry hosts if it is later than the one that the store
    /// shows, or 0, which is the usual case. The change becomes a later revision than this
    /// one.
    pub above: Revision,
    /// New text of `plans`.
    pub plans: String,
    /// New text of `uses`.
    pub uses: String,
    /// Id of this attempt, which is random and never used again.
    pub change: ChangeId,
    /// Who makes the change.
    pub author: SmolStr,
    /// Time of the change in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

impl Proposal {
    /// Returns the revision that the change becomes: the next one after `base` and
    /// `above`.
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
