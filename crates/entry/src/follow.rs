//! Follows a key prefix in the store by lists, watches and confirmations.
//!
//! A watch only signals that something has changed. The data always comes from a list as
//! of one revision, which proves that the data is current at that time; the content of a
//! watch cannot prove this. If the watch reports no change for a period, a transaction
//! without writes checks that the entries of the last list are unchanged. Its success
//! proves as much as a new list does, without transferring the values.

use std::future::Future;

use vg_base::prelude::*;
use vg_store::{
    Entry, Error, Key, Listing, Store, StoreRevision, TXN_MAX_OPS, Txn, TxnOutcome, Watch,
};

/// Time limit for one store call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// First delay after a failed call. It doubles up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest delay after a failed call.
const RETRY_MAX: Duration = Duration::from_millis(400);

/// An observation of the store.
#[derive(Debug)]
pub(crate) enum Observed {
    /// All entries as they were at some time after `sent`.
    Listed {
        /// Time just before the call was sent.
        sent: Instant,
        /// The entries.
        listing: Listing,
    },
    /// All entries are still those of the last list at some time after `sent`.
    Confirmed {
        /// Time just before the call was sent.
        sent: Instant,
        /// The entries.
        listing: Listing,
    },
    /// The store call failed.
    Failed(Error),
}

/// Follows `prefix` until the future is dropped, and confirms every `period` that the
/// last list is current.
///
/// A new key may appear under `prefix` only together with a write to an existing one,
/// because a confirmation checks the known keys only.
pub(crate) async fn follow<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    prefix: Key,
    period: Duration,
    mut observe: impl FnMut(Observed),
) {
    let mut retry = RETRY_MIN;
    loop {
        let sent = clock.now();
        let error = match with_timeout(store.range(&prefix)).await {
            Ok(listing) => {
                retry = RETRY_MIN;
                observe(Observed::Listed { sent, listing: listing.clone() });
                watch(store, clock, &prefix, listing, period, &mut observe).await
            }
            Err(error) => error,
        };
        observe(Observed::Failed(error));
        tokio::time::sleep(retry).await;
        retry = (retry * 2).min(RETRY_MAX);
    }
}

/// Watches, lists and confirms until a call fails, and returns the error.
async fn watch<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    prefix: &Key,
    mut listing: Listing,
    period: Duration,
    observe: &mut impl FnMut(Observed),
) -> Error {
    let next = |listing: &Listing| StoreRevision(listing.revision.0 + 1);
    let mut watch = match with_timeout(store.watch(prefix, next(&listing))).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    loop {
        let change = tokio::time::timeout(period, await_change(&mut watch, next(&listing))).await;
        let sent = clock.now();
        let changed = match change {
            Ok(Err(error)) => return error,
            Ok(Ok(())) => true,
            Err(_) => match is_current(store, &listing).await {
                Ok(current) => !current,
                Err(error) => return error,
            },
        };
        if !changed {
            observe(Observed::Confirmed { sent, listing: listing.clone() });
            continue;
        }
        let sent = clock.now();
        listing = match with_timeout(store.range(prefix)).await {
            Ok(listing) => listing,
            Err(error) => return error,
        };
        observe(Observed::Listed { sent, listing: listing.clone() });
    }
}

/// Checks whether all entries are as listed. Returns false if one transaction cannot
/// check this, because the list is empty or too long.
async fn is_current<S: Store>(store: &S, listing: &Listing) -> Result<bool, Error> {
    if listing.entries.is_empty() || listing.entries.len() > TXN_MAX_OPS {
        return Ok(false);
    }
    let expect = |txn: Txn, entry: &Entry| txn.expect(entry.key.clone(), Some(entry.modified));
    let check = listing.entries.iter().fold(Txn::new(), expect);
    Ok(matches!(with_timeout(store.commit(check)).await?, TxnOutcome::Committed { .. }))
}

/// Waits until the watch reports a change at `from` or later.
async fn await_change(watch: &mut impl Watch, from: StoreRevision) -> Result<(), Error> {
    loop {
        let batch = watch.next().await?;
        if !batch.changes.is_empty() && batch.revision >= from {
            return Ok(());
        }
    }
}

/// Returns the size of all keys and values of a list in bytes.
pub(crate) fn listing_size(listing: &Listing) -> usize {
    listing.entries.iter().map(|entry| entry.key.0.len() + entry.value.len()).sum()
}

/// Returns the size of a confirmation in bytes: the keys and their revisions.
pub(crate) fn confirmation_size(listing: &Listing) -> usize {
    let revision = std::mem::size_of::<StoreRevision>();
    listing.entries.iter().map(|entry| entry.key.0.len() + revision).sum()
}

/// Applies the time limit to a store call. A call that timed out may have taken effect.
pub(crate) async fn with_timeout<T>(
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::AnswerLost { reason: "no answer in time".to_owned() }),
    }
}
