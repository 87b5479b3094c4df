//! The newest lists as read from the store.

use vg_base::prelude::*;
use vg_conf::StoredLists;
use vg_conf::stored::StoredError;
use vg_store::{Entry, StoreRevision, Value};

/// The newest value of the lists and its store revision, on which a change is
/// conditional.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Current {
    /// The newest revision of the lists, or `None` if there are no lists yet.
    pub stored: Option<StoredLists>,
    /// The bytes of the value in the store.
    pub(crate) value: Option<Value>,
    /// Store revision of the last write of the value.
    pub(crate) modified: Option<StoreRevision>,
}

impl Current {
    /// Returns the newest revision, or 0 if there are no lists yet.
    pub fn revision(&self) -> Revision {
        self.stored.as_ref().map_or(Revision::ZERO, |stored| stored.revision)
    }

    /// Decodes an entry of the store.
    pub(crate) fn from_entry(entry: Option<Entry>) -> Result<Current, StoredError> {
        let Some(entry) = entry else { return Ok(Current::default()) };
        Ok(Current {
            stored: Some(StoredLists::decode_unchecked(&entry.value)?),
            value: Some(entry.value),
            modified: Some(entry.modified),
        })
    }
}
