//! How a change ended.

use vg_base::prelude::*;
use vg_conf::StoredLists;

/// How an attempt to change the lists ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Proved: the change is in the store as this revision.
    Stored {
        /// Its revision.
        revision: Revision,
    },
    /// Proved: the change is not in the store and never will be, another one
    /// came first.
    Conflict {
        /// The newest revision.
        newest: Box<StoredLists>,
    },
    /// Proved: the change is not in the store and never will be. Its answer
    /// was lost before it took effect.
    NotStored,
    /// It can't be proved now whether the change is stored.
    Unknown {
        /// What the store said last.
        reason: String,
    },
}

/// What is found out later about an attempt whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// Proved: the change is in the store as this revision.
    Stored {
        /// Its revision.
        revision: Revision,
    },
    /// Proved: the change is not in the store and never will be.
    NotStored,
    /// The change is older than the kept history.
    Forgotten,
}
