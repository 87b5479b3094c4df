//! Outcomes of changes of the lists.

use vg_base::prelude::*;
use vg_conf::StoredLists;

/// The outcome of an attempt to change the lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in the store.
    Stored {
        /// Revision of the change.
        revision: Revision,
    },
    /// The change is not in the store and never will be, because another change came
    /// first.
    Conflict {
        /// The newest revision.
        newest: Box<StoredLists>,
    },
    /// The change is not in the store and never will be. The answer of the store was
    /// lost before the change took effect.
    NotStored,
    /// It is not known whether the change is stored.
    Unknown {
        /// The last error, or why the history gives no answer.
        reason: String,
    },
}

/// The resolved outcome of a change whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The change is in the store.
    Stored {
        /// Revision of the change.
        revision: Revision,
    },
    /// The change is not in the store and never will be.
    NotStored,
    /// The history does not reach back to the change, so the outcome is not known.
    HistoryExpired,
}
