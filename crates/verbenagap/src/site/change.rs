//! Changes to the stored lists, as an operator makes them.

use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::stored::LISTS_KEY;
use vg_conf::{ChangeId, StoredLists};
use vg_store::{Key, Store, Txn, TxnOutcome};

use crate::site::error::{self, StoreSnafu};
use crate::site::{Site, SiteError};

impl Site {
    /// Stores the lists under the next revision, as an operator's accepted change does, and
    /// returns the revision.
    ///
    /// # Errors
    ///
    /// [`SiteError`] if the store fails, another change comes first, or the lists cannot be
    /// encoded.
    pub async fn change_lists(&self, plans: String, uses: String) -> Result<Revision, SiteError> {
        let entry = self.store.get(&Key::from(LISTS_KEY)).await.context(StoreSnafu)?;
        let previous = entry.and_then(|entry| StoredLists::decode_unchecked(&entry.value).ok());
        let revision = previous.map(|previous| previous.revision).unwrap_or_default().next();
        self.write_lists(revision, plans, uses).await?;
        Ok(revision)
    }

    /// Returns the texts of the lists `plans` and `uses`, with the keys of all teams granted.
    ///
    /// # Errors
    ///
    /// [`SiteError::Edit`] if a key cannot be granted.
    pub fn list_texts(&self) -> Result<(String, String), SiteError> {
        let plans = self.keys.grant_all(&self.plan.plans)?;
        Ok((plans, self.plan.uses.clone()))
    }

    /// Stores the lists under a revision. Fails if they change between the read and the
    /// write.
    pub(super) async fn write_lists(
        &self,
        revision: Revision,
        plans: String,
        uses: String,
    ) -> Result<(), SiteError> {
        let stored = StoredLists {
            revision,
            plans,
            uses,
            change: ChangeId::new(u128::from(revision.get())),
            author: SmolStr::new_static("site"),
            at_ms: 0,
        };
        let value = stored.encode().context(error::EncodeSnafu)?;
        let entry = self.store.get(&Key::from(LISTS_KEY)).await.context(StoreSnafu)?;
        let modified = entry.map(|entry| entry.modified);
        let txn = Txn::new().expect(LISTS_KEY, modified).put(LISTS_KEY, value);
        match self.store.commit(txn).await.context(StoreSnafu)? {
            TxnOutcome::Committed { .. } => Ok(()),
            TxnOutcome::Conflict { .. } => error::ConflictSnafu.fail(),
        }
    }
}
