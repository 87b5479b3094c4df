//! Following a prefix of the store: a list, and a list again whenever a watch
//! tells of a change, and from time to time.
//!
//! The watch only rings. What is taken in is always a list as of one moment,
//! which proves that it is current, as the content of a watch can't.

use std::future::Future;

use vg_base::prelude::*;
use vg_store::{Error, Key, Listing, Store, StoreRevision, Watch};

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
    /// The store gave no answer.
    Failed(Error),
}

/// Follows `prefix` until the future is dropped, listing it every `period`.
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
                let from = StoreRevision(listing.revision.0 + 1);
                observe(Observed::Listed { asked, listing });
                watch(store, clock, &prefix, from, period, &mut observe).await
            }
            Err(error) => error,
        };
        observe(Observed::Failed(error));
        tokio::time::sleep(retry).await;
        retry = (retry * 2).min(RETRY_MAX);
    }
}

/// Watches and lists until a call fails.
async fn watch<S: Store, C: Clock>(
    store: &S,
    clock: &C,
    prefix: &Key,
    from: StoreRevision,
    period: Duration,
    observe: &mut impl FnMut(Observed),
) -> Error {
    let mut seen = from;
    let mut watch = match bounded(store.watch(prefix, from)).await {
        Ok(watch) => watch,
        Err(error) => return error,
    };
    loop {
        let rung = tokio::time::timeout(period, ring(&mut watch, seen)).await;
        // Else there is a change, or the period is over.
        if let Ok(Err(error)) = rung {
            return error;
        }
        let asked = clock.now();
        match bounded(store.range(prefix)).await {
            Ok(listing) => {
                seen = StoreRevision(listing.revision.0 + 1);
                observe(Observed::Listed { asked, listing });
            }
            Err(error) => return error,
        }
    }
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

/// Bounds a store call. A call that timed out may have taken effect.
pub(crate) async fn bounded<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::AnswerLost { reason: "no answer in time".to_owned() }),
    }
}
