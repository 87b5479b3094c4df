//! What running watches learn from the faults handle.

use crate::{Error, StoreRevision};

/// State that running watches follow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Signal {
    /// Grows whenever all running watches are ended.
    pub(crate) ends: u64,
    /// Oldest revision that the last ended watches were told, if compacted.
    pub(crate) compacted: Option<StoreRevision>,
    /// Whether watches deliver nothing.
    pub(crate) silent: bool,
}

impl Signal {
    /// Returns the error that ends the running watches.
    pub(crate) fn error(&self) -> Error {
        match self.compacted {
            Some(oldest) => Error::Compacted { oldest },
            None => Error::Unavailable { reason: "the watch was cut".to_owned() },
        }
    }
}
