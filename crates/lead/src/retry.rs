//! Time limits for retries, and reads that are retried.

use vg_base::prelude::*;
use vg_store::{Entry, Error, Key, Store};

/// Delay before a read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Time before the caller's deadline by which the answer has to be ready.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Maximum time for which a host retries by itself before it asks peers.
pub(crate) const LOCAL_RETRY_LIMIT: Duration = Duration::from_millis(900);

/// Returns the time by which the answer to a caller has to be ready.
pub(crate) fn answer_deadline(deadline: Instant) -> Instant {
    deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline)
}

/// Reads a key. Retries until the store answers or `deadline` has passed.
pub(crate) async fn read_with_retry<S: Store, C: Clock>(
    store: &S,
    key: &Key,
    clock: &C,
    deadline: Instant,
) -> Result<Option<Entry>, Error> {
    loop {
        match store.get(key).await {
            Ok(entry) => return Ok(entry),
            Err(error) if clock.now() + RETRY_DELAY >= deadline => return Err(error),
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}
