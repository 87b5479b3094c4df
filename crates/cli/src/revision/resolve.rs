//! Resolving of changes whose answer from the store was lost.

use bytes::Bytes;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::stored::{HISTORY_REVISIONS, LISTS_KEY};
use vg_conf::{ChangeId, StoredLists};
use vg_store::{Store, Txn, TxnOutcome};

use crate::revision::error::{StoreSnafu, ValueSnafu};
use crate::revision::{ApplyOutcome, Current, Proposal, Resolution, RevisionError, Revisions};

/// Number of attempts to resolve a change right after its answer was lost.
const MAX_RESOLVE_ATTEMPTS: u32 = 5;

/// Number of times that resolving starts again because the lists have changed
/// meanwhile.
const MAX_RESOLVE_ROUNDS: u32 = 8;

impl<S: Store> Revisions<S> {
    /// Finds out whether a change is stored. If it is not, makes sure that it never
    /// will be.
    ///
    /// With the `base` of the change, two reads are usually enough. Without it, the
    /// whole history is read.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionError`] if the outcome can't be resolved now; try again
    /// later.
    pub async fn resolve(
        &self,
        change: ChangeId,
        base: Option<Revision>,
    ) -> Result<Resolution, RevisionError> {
        for _ in 0..MAX_RESOLVE_ROUNDS {
            let current = self.current().await?;
            if let Some(found) = self.find_change(change, base, &current).await? {
                return Ok(found);
            }
            if self.supersede_delayed(&current).await? {
                return Ok(Resolution::NotStored);
            }
        }
        let reason = "the lists kept changing while the change was resolved".to_owned();
        Err(RevisionError::Store { source: vg_store::Error::Unavailable { reason } })
    }

    /// Resolves a change right after its answer was lost, in up to
    /// `MAX_RESOLVE_ATTEMPTS` attempts.
    pub(super) async fn resolve_now(&self, proposal: &Proposal) -> ApplyOutcome {
        let mut reason = String::new();
        for attempt in 0..MAX_RESOLVE_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(self.retry_delay).await;
            }
            match self.resolve_outcome(proposal).await {
                Ok(outcome) => return outcome,
                Err(error) => reason = error.to_string(),
            }
        }
        ApplyOutcome::Unknown { reason }
    }

    async fn resolve_outcome(&self, proposal: &Proposal) -> Result<ApplyOutcome, RevisionError> {
        match self.resolve(proposal.change, Some(proposal.base)).await? {
            Resolution::Stored { revision } => Ok(ApplyOutcome::Stored { revision }),
            Resolution::HistoryExpired => {
                let reason = "the history no longer reaches back to the change".to_owned();
                Ok(ApplyOutcome::Unknown { reason })
            }
            Resolution::NotStored => {
                let current = self.current().await?;
                let newer = current.stored.filter(|stored| stored.revision > proposal.base);
                Ok(newer.map_or(ApplyOutcome::NotStored, |newest| ApplyOutcome::Conflict {
                    newest: Box::new(newest),
                }))
            }
        }
    }

    /// Searches for a change. Returns `None` if the change is not stored but a
    /// delayed write may still store it.
    async fn find_change(
        &self,
        change: ChangeId,
        base: Option<Revision>,
        current: &Current,
    ) -> Result<Option<Resolution>, RevisionError> {
        if let Some(stored) = current.stored.as_ref().filter(|stored| stored.change == change) {
            return Ok(Some(Resolution::Stored { revision: stored.revision }));
        }
        match base {
            Some(base) => self.find_after_base(change, base, current).await,
            None => self.find_without_base(change, current).await,
        }
    }

    /// Searches for a change whose base is known.
    async fn find_after_base(
        &self,
        change: ChangeId,
        base: Revision,
        current: &Current,
    ) -> Result<Option<Resolution>, RevisionError> {
        let found = current.revision();
        if found < base {
            return Err(RevisionError::OlderRevision { found, base });
        }
        if found == base {
            return Ok(None);
        }
        let revision = base.next();
        match self.at(revision).await? {
            Some(stored) if stored.change == change => Ok(Some(Resolution::Stored { revision })),
            // Another change took this revision, and revisions never go back.
            Some(_) => Ok(Some(Resolution::NotStored)),
            // A change may have skipped revisions, or the history no longer has this one.
            None => self.find_in_history(change, base, found).await.map(Some),
        }
    }

    /// Searches the history for a change that may have skipped revisions.
    async fn find_in_history(
        &self,
        change: ChangeId,
        base: Revision,
        newest: Revision,
    ) -> Result<Resolution, RevisionError> {
        let history = self.history().await?;
        if let Some(stored) = history.iter().find(|stored| stored.change == change) {
            return Ok(Resolution::Stored { revision: stored.revision });
        }
        // If the history reaches from the base to the newest revision, it also has the
        // change that followed the base.
        let has = |revision| history.iter().any(|stored| stored.revision == revision);
        Ok(if has(base) && has(newest) {
            Resolution::NotStored
        } else {
            Resolution::HistoryExpired
        })
    }

    /// Searches the whole history for a change whose base is not known.
    async fn find_without_base(
        &self,
        change: ChangeId,
        current: &Current,
    ) -> Result<Option<Resolution>, RevisionError> {
        let history = self.history().await?;
        if let Some(stored) = history.iter().find(|stored| stored.change == change) {
            return Ok(Some(Resolution::Stored { revision: stored.revision }));
        }
        let newest = current.revision();
        let is_empty = newest == Revision::ZERO;
        let has_newest = is_empty || history.iter().any(|stored| stored.revision == newest);
        let complete = newest.get() <= HISTORY_REVISIONS;
        Ok(if complete && has_newest { None } else { Some(Resolution::HistoryExpired) })
    }

    /// Writes the newest value once more, so that a delayed write that expects the
    /// previous store revision can't take effect. Returns `false` if the lists have
    /// changed since they were read.
    async fn supersede_delayed(&self, current: &Current) -> Result<bool, RevisionError> {
        let value = match &current.value {
            Some(value) => value.clone(),
            None => Bytes::from(empty_lists().encode().context(ValueSnafu)?),
        };
        let txn = Txn::new().expect(LISTS_KEY, current.modified).put(LISTS_KEY, value);
        match self.store.commit(txn).await.context(StoreSnafu)? {
            TxnOutcome::Committed { .. } => Ok(true),
            TxnOutcome::Conflict { .. } => Ok(false),
        }
    }
}

/// Returns the value that stands for the lists before the first revision.
fn empty_lists() -> StoredLists {
    StoredLists {
        revision: Revision::ZERO,
        plans: String::new(),
        uses: String::new(),
        change: ChangeId::new(0),
        author: SmolStr::default(),
        at_ms: 0,
    }
}
