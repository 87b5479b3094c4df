//! Following a prefix of the store: a list, and a list again whenever a watch
//! tells of a change, and from time to time.
//!
//! The watch only rings. What is taken in is always a list as of one moment,
//! which proves that it is current, as the content of a watch can't. When no
//! watch has rung for a period, a transaction without writes asks whether the
//! entries of the last list are still what they were: its answer proves as much
//! as a list does, without their values.

use std::future::Future;

use vg_base::prelude::*;
use vg_store::{
    Entry, Error, Key, Listing, Store, StoreRevision, TXN_MAX_OPS, Txn, TxnOutcome, Watch,
};

/// Longest time for one store call.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// First wait after a failed call; doubles up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest wait after a failed call.
const RETRY_MAX: Duration = Duration::from_millis(400);

/// What a follower learns.
#[derive(Debug)]
pub(crate) enum Observed {
    /// All entries as they were at some time after `asked`.
    Listed {
        /// Before the call was sent.
        asked: Instant,
        /// The entries.
        listing: Listing,
    },
    /// All entries are still those of the last list at some time after `asked`.
    Confirmed {
        /// Before the call was sent.
        asked: Instant,
        /// The entries.
        listing: Listing,
    },
    /// The store gave no answer.
    Failed(Error),
}

/// Follows `prefix` until the future is dropped, and confirms every `period`
/// that the last list is current.
///
/// A key may appear under `prefix` only together with a write to one that is
/// there: a confirmation asks for the known keys alone.
pub(crate) async fn follow<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    prefix: Key,
    period: Duration,
    mut observe: impl FnMut(Observed),
) {
    let mut retry = RETRY_MIN;
    loop {
        let asked = clock.now();
        let error = match bounded(store.range(&prefix)).await {
            Ok(listing) => {
                retry = RETRY_MIN;
                observe(Observed::Listed { asked, listing: listing.clone() });
                watch(store, clock, &prefix, listing, period, &mut observe).await
            }
            Err(error) => error,
        };
        observe(Observed::Failed(error));
        tokio::time::sleep(retry).await;
        retry = (retry * 2).min(RETRY_MAX);
    }
}

/// Watches, lists and confirms until a call fails.
async fn watch<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    prefix: &Key,
    mut listing: Listing,
    period: Duration,
    observe: &mut impl FnMut(Observed),
) -> Error {
    let next = |listing: &Listing| StoreRevision(listing.revision.0 + 1);
    let mut watch = match bounded(store.watch(prefix, next(&listing))).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    loop {
        let rung = tokio::time::timeout(period, ring(&mut watch, next(&listing))).await;
        let asked = clock.now();
        let changed = match rung {
            Ok(Err(error)) => return error,
            Ok(Ok(())) => true,
            Err(_) => match is_current(store, &listing).await {
                Ok(current) => !current,
                Err(error) => return error,
            },
        };
        if !changed {
            observe(Observed::Confirmed { asked, listing: listing.clone() });
            continue;
        }
        let asked = clock.now();
        listing = match bounded(store.range(prefix)).await {
            Ok(listing) => listing,
            Err(error) => return error,
        };
        observe(Observed::Listed { asked, listing: listing.clone() });
    }
}

/// Asks whether all entries are as listed; false if that can't be asked.
async fn is_current<S: Store>(store: &S, listing: &Listing) -> Result<bool, Error> {
    if listing.entries.is_empty() || listing.entries.len() > TXN_MAX_OPS {
        return Ok(false);
    }
    let expect = |txn: Txn, entry: &Entry| txn.expect(entry.key.clone(), Some(entry.modified));
    let question = listing.entries.iter().fold(Txn::new(), expect);
    Ok(matches!(bounded(store.commit(question)).await?, TxnOutcome::Committed { .. }))
}

/// Waits until the watch tells of a change that the last list didn't have.
async fn ring(watch: &mut impl Watch, seen: StoreRevision) -> Result<(), Error> {
    loop {
        let batch = watch.next().await?;
        if !batch.changes.is_empty() && batch.revision >= seen {
            return Ok(());
        }
    }
}

/// Returns the bytes of all keys and values of a list.
pub(crate) fn size(listing: &Listing) -> usize {
    listing.entries.iter().map(|entry| entry.key.0.len() + entry.value.len()).sum()
}

/// Returns the bytes of what a confirmation asks: keys and their revisions.
pub(crate) fn question_size(listing: &Listing) -> usize {
    let revision = std::mem::size_of::<StoreRevision>();
    listing.entries.iter().map(|entry| entry.key.0.len() + revision).sum()
}

/// Bounds a store call. A call that timed out may have taken effect.
pub(crate) async fn bounded<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::AnswerLost { reason: "no answer in time".to_owned() }),
    }
}
