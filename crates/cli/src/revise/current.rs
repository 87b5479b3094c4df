//! The lists in the store as they were read.

use vg_base::prelude::*;
use vg_conf::StoredLists;
use vg_conf::stored::StoredError;
use vg_store::{Entry, StoreRevision, Value};

/// The newest value and the store revision that a change is compared with.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Current {
    /// The newest revision of the lists; `None`: there was never any.
    pub stored: Option<StoredLists>,
    /// The value's bytes as they stand in the store.
    pub(crate) value: Option<Value>,
    /// The store's revision of the last write.
    pub(crate) modified: Option<StoreRevision>,
}

impl Current {
    /// Returns the newest revision, 0 before the first.
    pub fn revision(&self) -> Revision {
        self.stored.as_ref().map_or(Revision::ZERO, |stored| stored.revision)
    }

    /// Reads an entry of the store.
    pub(crate) fn from_entry(entry: Option<Entry>) -> Result<Current, StoredError> {
        let Some(entry) = entry else { return Ok(Current::default()) };
        Ok(Current {
            stored: Some(StoredLists::decode_unchecked(&entry.value)?),
            value: Some(entry.value),
            modified: Some(entry.modified),
        })
    }
}
