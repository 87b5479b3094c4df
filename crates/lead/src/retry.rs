//! Calls that are made again, and until when.

use vg_base::prelude::*;
use vg_store::{Entry, Error, Key, Store};

/// Pause before a call is made again.
const PAUSE: Duration = Duration::from_millis(60);

/// Time before the caller's deadline at which the answer has to be ready.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Longest time that a host tries by itself before it asks peers.
pub(crate) const OWN_TRIES: Duration = Duration::from_millis(900);

/// Returns when the answer to a caller has to be ready.
pub(crate) fn answer_by(deadline: Instant) -> Instant {
    deadline.checked_sub(ANSWER_MARGIN).unwrap_or(deadline)
}

/// Reads a key until the store answers or `deadline` has passed.
pub(crate) async fn read<S: Store, C: Clock>(
    store: &S,
    key: &Key,
    clock: &C,
    deadline: Instant,
) -> Result<Option<Entry>, Error> {
    loop {
        match store.get(key).await {
            Ok(entry) => return Ok(entry),
            Err(error) if clock.now() + PAUSE >= deadline => return Err(error),
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}
