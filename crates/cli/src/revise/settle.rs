//! Settling of changes whose answer was lost.

use bytes::Bytes;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::stored::{HISTORY_REVISIONS, LISTS_KEY};
use vg_conf::{ChangeId, StoredLists};
use vg_store::{Store, Txn, TxnOutcome};

use crate::revise::error::{StoreSnafu, ValueSnafu};
use crate::revise::{Current, Proposal, RevisionError, Revisions, Settlement, Verdict};

/// Attempts to settle a change whose answer was lost, right after the loss.
const SETTLE_ATTEMPTS: u32 = 5;

/// Most times that a settlement starts anew because the lists changed under it.
const SETTLE_ROUNDS: u32 = 8;

impl<S: Store> Revisions<S> {
    /// Finds out whether a change is stored, and sees to it that it never will
    /// be if it is not.
    ///
    /// With the change's `base` two reads usually do; without, the whole history
    /// is read.
    ///
    /// # Errors
    ///
    /// [`RevisionError`] if nothing can be said now; try again later.
    pub async fn settle(
        &self,
        change: ChangeId,
        base: Option<Revision>,
    ) -> Result<Settlement, RevisionError> {
        for _ in 0..SETTLE_ROUNDS {
            let current = self.current().await?;
            if let Some(found) = self.look(change, base, &current).await? {
                return Ok(found);
            }
            if self.fence(&current).await? {
                return Ok(Settlement::NotStored);
            }
        }
        let reason = "the lists change all the time".to_owned();
        Err(RevisionError::Store { source: vg_store::Error::Unavailable { reason } })
    }

    pub(super) async fn settle_now(&self, proposal: &Proposal) -> Verdict {
        let mut reason = String::new();
        for attempt in 0..SETTLE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(self.pause).await;
            }
            match self.settled_verdict(proposal).await {
                Ok(verdict) => return verdict,
                Err(error) => reason = error.to_string(),
            }
        }
        Verdict::Unknown { reason }
    }

    async fn settled_verdict(&self, proposal: &Proposal) -> Result<Verdict, RevisionError> {
        match self.settle(proposal.change, Some(proposal.base)).await? {
            Settlement::Stored { revision } => Ok(Verdict::Stored { revision }),
            Settlement::Forgotten => {
                let reason = "the history no longer reaches back to the change".to_owned();
                Ok(Verdict::Unknown { reason })
            }
            Settlement::NotStored => {
                let current = self.current().await?;
                let newer = current.stored.filter(|stored| stored.revision > proposal.base);
                Ok(newer.map_or(Verdict::NotStored, |newest| Verdict::Conflict {
                    newest: Box::new(newest),
                }))
            }
        }
    }

    /// Looks for a change; `None`: it is not there, but may still come.
    async fn look(
        &self,
        change: ChangeId,
        base: Option<Revision>,
        current: &Current,
    ) -> Result<Option<Settlement>, RevisionError> {
        if let Some(stored) = current.stored.as_ref().filter(|stored| stored.change == change) {
            return Ok(Some(Settlement::Stored { revision: stored.revision }));
        }
        match base {
            Some(base) => self.look_after(change, base, current).await,
            None => self.look_everywhere(change, current).await,
        }
    }

    async fn look_after(
        &self,
        change: ChangeId,
        base: Revision,
        current: &Current,
    ) -> Result<Option<Settlement>, RevisionError> {
        let found = current.revision();
        if found < base {
            return Err(RevisionError::OlderRevision { found, base });
        }
        if found == base {
            return Ok(None);
        }
        let revision = base.next();
        match self.at(revision).await? {
            Some(stored) if stored.change == change => Ok(Some(Settlement::Stored { revision })),
            // Another change took this revision, and the lists never go back.
            Some(_) => Ok(Some(Settlement::NotStored)),
            // The next revision was a later one, or the history has lost it.
            None => self.look_behind(change, base, found).await.map(Some),
        }
    }

    async fn look_behind(
        &self,
        change: ChangeId,
        base: Revision,
        newest: Revision,
    ) -> Result<Settlement, RevisionError> {
        let history = self.history().await?;
        if let Some(stored) = history.iter().find(|stored| stored.change == change) {
            return Ok(Settlement::Stored { revision: stored.revision });
        }
        // From the base to the newest, so the change that followed is there, too.
        let has = |revision| history.iter().any(|stored| stored.revision == revision);
        Ok(if has(base) && has(newest) { Settlement::NotStored } else { Settlement::Forgotten })
    }

    async fn look_everywhere(
        &self,
        change: ChangeId,
        current: &Current,
    ) -> Result<Option<Settlement>, RevisionError> {
        let history = self.history().await?;
        if let Some(stored) = history.iter().find(|stored| stored.change == change) {
            return Ok(Some(Settlement::Stored { revision: stored.revision }));
        }
        let newest = current.revision();
        let first = newest == Revision::ZERO;
        let reaches = first || history.iter().any(|stored| stored.revision == newest);
        let complete = newest.get() <= HISTORY_REVISIONS;
        Ok(if complete && reaches { None } else { Some(Settlement::Forgotten) })
    }

    /// Writes the newest value once more, so that a delayed change that expects
    /// the store revision before it can't take effect. `false`: the lists have
    /// changed since they were read.
    async fn fence(&self, current: &Current) -> Result<bool, RevisionError> {
        let value = match &current.value {
            Some(value) => value.clone(),
            None => Bytes::from(nothing().encode().context(ValueSnafu)?),
        };
        let txn = Txn::new().expect(LISTS_KEY, current.modified).put(LISTS_KEY, value);
        match self.store.commit(txn).await.context(StoreSnafu)? {
            TxnOutcome::Committed { .. } => Ok(true),
            TxnOutcome::Conflict { .. } => Ok(false),
        }
    }
}

/// The lists before the first revision.
fn nothing() -> StoredLists {
    StoredLists {
        revision: Revision::ZERO,
        plans: String::new(),
        uses: String::new(),
        change: ChangeId::new(0),
        author: SmolStr::default(),
        at_ms: 0,
    }
}
