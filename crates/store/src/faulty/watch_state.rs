//! State that the fault control passes to running watches.

use crate::{Error, StoreRevision};

/// The faults of running watches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct WatchState {
    /// How many times all running watches have been ended.
    pub(crate) end_count: u64,
    /// Oldest available revision, if the watches were last ended as compacted.
    pub(crate) compacted: Option<StoreRevision>,
    /// Whether watches deliver nothing for now.
    pub(crate) silent: bool,
}

impl WatchState {
    /// Returns the error that ends the running watches.
    pub(crate) fn error(&self) -> Error {
        match self.compacted {
            Some(oldest) => Error::Compacted { oldest },
            None => Error::Unavailable { reason: "the watch was cut".to_owned() },
        }
    }
}
