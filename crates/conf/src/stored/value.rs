//! One revision of the lists.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::Lists;
use crate::lists;
use crate::stored::{ChangeId, MAX_VALUE_BYTES, StoredError};

/// One revision of the lists with its origin, the value under
/// [`LISTS_KEY`](super::LISTS_KEY).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredLists {
    /// The revision, one more than its base.
    pub revision: Revision,
    /// Text of the list `plans`, with its comments.
    pub plans: String,
    /// Text of the list `uses`, with its comments.
    pub uses: String,
    /// The change that made it.
    pub change: ChangeId,
    /// Who made it, as the operator's command said.
    pub author: SmolStr,
    /// When, in milliseconds since the Unix epoch by the operator's clock.
    pub at_ms: u64,
}

impl StoredLists {
    /// Encodes the value as JSON.
    ///
    /// # Errors
    ///
    /// [`StoredError::TooLarge`] if the store would not hold it.
    pub fn encode(&self) -> Result<Vec<u8>, StoredError> {
        let bytes = serde_json::to_vec(self)
            .map_err(|e| StoredError::Malformed { reason: e.to_string() })?;
        if bytes.len() > MAX_VALUE_BYTES {
            return Err(StoredError::TooLarge { size: bytes.len() });
        }
        Ok(bytes)
    }

    /// Decodes a value without checking its lists, to show or repair it.
    ///
    /// # Errors
    ///
    /// [`StoredError::Malformed`] if the bytes are no stored value.
    pub fn decode_unchecked(bytes: &[u8]) -> Result<StoredLists, StoredError> {
        serde_json::from_slice(bytes).map_err(|e| StoredError::Malformed { reason: e.to_string() })
    }

    /// Decodes a value and checks its lists.
    ///
    /// `known` is the newest value that was in force here, if any. The same
    /// revision may come again, an older one or another change under the same
    /// revision may not.
    ///
    /// # Errors
    ///
    /// [`StoredError`] if the value must not come into force.
    pub fn decode(
        bytes: &[u8],
        known: Option<&StoredLists>,
    ) -> Result<(StoredLists, Lists), StoredError> {
        let stored = StoredLists::decode_unchecked(bytes)?;
        if let Some(known) = known {
            stored.check_follows(known)?;
        }
        let lists = stored.lists()?;
        Ok((stored, lists))
    }

    /// Parses the lists.
    ///
    /// # Errors
    ///
    /// [`StoredError::Invalid`] with all that is wrong.
    pub fn lists(&self) -> Result<Lists, StoredError> {
        lists::parse(&self.plans, &self.uses)
            .map_err(|diagnostics| StoredError::Invalid { revision: self.revision, diagnostics })
    }

    fn check_follows(&self, known: &StoredLists) -> Result<(), StoredError> {
        if self.revision < known.revision {
            return Err(StoredError::OlderRevision { found: self.revision, known: known.revision });
        }
        if self.revision == known.revision && self.change != known.change {
            return Err(StoredError::ConflictingChange {
                revision: self.revision,
                known: known.change,
                found: self.change,
            });
        }
        Ok(())
    }
}
