//! Settling writes whose answer was lost.

use vg_base::prelude::*;
use vg_store::{Entry, Error, Key, Store};

/// Pause before a call is made again.
const PAUSE: Duration = Duration::from_millis(60);

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
