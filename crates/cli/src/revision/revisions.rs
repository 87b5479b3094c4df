//! Reading and storing of revisions.

use bytes::Bytes;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::stored::{HISTORY_PREFIX, HISTORY_REVISIONS, LISTS_KEY, history_key};
use vg_conf::{StoredLists, lists};
use vg_store::{Key, Store, Txn, TxnOutcome};

use crate::revision::error::{StoreSnafu, ValueSnafu};
use crate::revision::{ApplyOutcome, Current, Proposal, RevisionError};

/// Pause between two attempts to resolve a change.
const RESOLVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The revisions of the lists in a store.
#[derive(Debug, Clone)]
pub struct Revisions<S> {
    pub(super) store: S,
    pub(super) retry_delay: Duration,
}

impl<S: Store> Revisions<S> {
    /// Gives access to the lists in `store`.
    pub fn new(store: S) -> Revisions<S> {
        Revisions { store, retry_delay: RESOLVE_RETRY_DELAY }
    }

    /// Sets the pause between two attempts to resolve a change.
    #[must_use]
    pub fn with_retry_delay(self, retry_delay: Duration) -> Revisions<S> {
        Revisions { retry_delay, ..self }
    }

    /// Reads the newest revision.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionError`] if the store fails or the value can't be decoded.
    pub async fn current(&self) -> Result<Current, RevisionError> {
        let entry = self.store.get(&LISTS_KEY.into()).await.context(StoreSnafu)?;
        Current::from_entry(entry).context(ValueSnafu)
    }

    /// Reads a revision from the history. Returns `None` if it is not there.
    ///
    /// # Errors
    ///
    /// As for [`Revisions::current`].
    pub async fn at(&self, revision: Revision) -> Result<Option<StoredLists>, RevisionError> {
        let key = Key::from(history_key(revision));
        let entry = self.store.get(&key).await.context(StoreSnafu)?;
        let decoded = entry.map(|entry| StoredLists::decode_unchecked(&entry.value));
        decoded.transpose().context(ValueSnafu)
    }

    /// Reads all revisions in the history, oldest first.
    ///
    /// # Errors
    ///
    /// As for [`Revisions::current`].
    pub async fn history(&self) -> Result<Vec<StoredLists>, RevisionError> {
        let listing = self.store.range(&HISTORY_PREFIX.into()).await.context(StoreSnafu)?;
        let each = listing.entries.iter().map(|entry| StoredLists::decode_unchecked(&entry.value));
        each.collect::<Result<_, _>>().context(ValueSnafu)
    }

    /// Tries once to store a change. If the answer of the store is lost, resolves
    /// whether the change took effect.
    ///
    /// # Errors
    ///
    /// Returns [`RevisionError`] if nothing was changed and nothing will be.
    pub async fn apply(&self, proposal: &Proposal) -> Result<ApplyOutcome, RevisionError> {
        lists::parse(&proposal.plans, &proposal.uses)
            .map_err(|diagnostics| RevisionError::Invalid { diagnostics })?;
        let value = proposal.stored().encode().context(ValueSnafu)?;
        let current = self.current().await?;
        if current.revision() != proposal.base {
            return conflict_or_older(current, proposal.base);
        }
        match self.store.commit(write_txn(proposal, value, &current)).await {
            Ok(TxnOutcome::Committed { .. }) => {
                Ok(ApplyOutcome::Stored { revision: proposal.revision() })
            }
            // The store adapter may have sent the transaction twice, and the second one
            // conflicts with what the first one has written.
            Ok(TxnOutcome::Conflict { .. }) => Ok(self.resolve_now(proposal).await),
            Err(source) if source.had_no_effect() => Err(RevisionError::Store { source }),
            Err(_) => Ok(self.resolve_now(proposal).await),
        }
    }
}

fn conflict_or_older(current: Current, base: Revision) -> Result<ApplyOutcome, RevisionError> {
    let found = current.revision();
    match current.stored {
        Some(newest) if found > base => Ok(ApplyOutcome::Conflict { newest: Box::new(newest) }),
        _ => Err(RevisionError::OlderRevision { found, base }),
    }
}

/// Makes the transaction that stores a change and prunes the history.
fn write_txn(proposal: &Proposal, value: Vec<u8>, current: &Current) -> Txn {
    let value = Bytes::from(value);
    let revision = proposal.revision();
    let txn = Txn::new()
        .expect(LISTS_KEY, current.modified)
        .put(LISTS_KEY, value.clone())
        .put(history_key(revision), value);
    match revision.get().checked_sub(HISTORY_REVISIONS) {
        Some(old) if old > 0 => txn.delete(history_key(Revision(old))),
        _ => txn,
    }
}
