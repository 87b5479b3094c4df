//! The lists' revisions in the store.

use bytes::Bytes;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_conf::stored::{HISTORY_PREFIX, HISTORY_REVISIONS, LISTS_KEY, history_key};
use vg_conf::{StoredLists, lists};
use vg_store::{Key, Store, Txn, TxnOutcome};

use crate::revise::error::{StoreSnafu, ValueSnafu};
use crate::revise::{Current, Proposal, RevisionError, Verdict};

/// Pause between two attempts to settle a change.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// Reads and changes the lists in a store.
#[derive(Debug, Clone)]
pub struct Revisions<S> {
    pub(super) store: S,
    pub(super) pause: Duration,
}

impl<S: Store> Revisions<S> {
    /// Makes an access to the lists in `store`.
    pub fn new(store: S) -> Revisions<S> {
        Revisions { store, pause: SETTLE_PAUSE }
    }

    /// Sets the pause between two attempts to settle a change.
    #[must_use]
    pub fn with_pause(self, pause: Duration) -> Revisions<S> {
        Revisions { pause, ..self }
    }

    /// Reads the newest revision.
    ///
    /// # Errors
    ///
    /// [`RevisionError`] if the store fails or holds something else.
    pub async fn current(&self) -> Result<Current, RevisionError> {
        let entry = self.store.get(&LISTS_KEY.into()).await.context(StoreSnafu)?;
        Current::from_entry(entry).context(ValueSnafu)
    }

    /// Reads a revision from the history.
    ///
    /// # Errors
    ///
    /// As [`Revisions::current`].
    pub async fn at(&self, revision: Revision) -> Result<Option<StoredLists>, RevisionError> {
        let key = Key::from(history_key(revision));
        let entry = self.store.get(&key).await.context(StoreSnafu)?;
        let decoded = entry.map(|entry| StoredLists::decode_unchecked(&entry.value));
        decoded.transpose().context(ValueSnafu)
    }

    /// Reads the kept revisions, oldest first.
    ///
    /// # Errors
    ///
    /// As [`Revisions::current`].
    pub async fn history(&self) -> Result<Vec<StoredLists>, RevisionError> {
        let listing = self.store.range(&HISTORY_PREFIX.into()).await.context(StoreSnafu)?;
        let each = listing.entries.iter().map(|entry| StoredLists::decode_unchecked(&entry.value));
        each.collect::<Result<_, _>>().context(ValueSnafu)
    }

    /// Tries to store a change, once. A lost answer is settled by reading.
    ///
    /// # Errors
    ///
    /// [`RevisionError`] if nothing was changed and nothing will be.
    pub async fn apply(&self, proposal: &Proposal) -> Result<Verdict, RevisionError> {
        lists::parse(&proposal.plans, &proposal.uses)
            .map_err(|diagnostics| RevisionError::Invalid { diagnostics })?;
        let value = proposal.stored().encode().context(ValueSnafu)?;
        let current = self.current().await?;
        if current.revision() != proposal.base {
            return conflict_or_backwards(current, proposal.base);
        }
        match self.store.commit(write(proposal, value, &current)).await {
            Ok(TxnOutcome::Committed { .. }) => {
                Ok(Verdict::Stored { revision: proposal.revision() })
            }
            // An adapter may have sent the transaction twice, and the second
            // found what the first had written.
            Ok(TxnOutcome::Conflict { .. }) => Ok(self.settle_now(proposal).await),
            Err(source) if source.had_no_effect() => Err(RevisionError::Store { source }),
            Err(_) => Ok(self.settle_now(proposal).await),
        }
    }
}

fn conflict_or_backwards(current: Current, base: Revision) -> Result<Verdict, RevisionError> {
    let found = current.revision();
    match current.stored {
        Some(newest) if found > base => Ok(Verdict::Conflict { newest: Box::new(newest) }),
        _ => Err(RevisionError::OlderRevision { found, base }),
    }
}

/// Makes the transaction that stores a change and prunes the history.
fn write(proposal: &Proposal, value: Vec<u8>, current: &Current) -> Txn {
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
