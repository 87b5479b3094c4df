//! A watch of the in-memory store.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use vg_base::Clock;

use crate::mem::store::MemStore;
use crate::{Error, Key, StoreRevision, Watch, WatchBatch};

/// How often a waiting watch ends expired leases.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// A watch without changes returns an empty batch after this time.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// A watch of a [`MemStore`].
#[derive(Debug)]
pub struct MemWatch<C> {
    store: MemStore<C>,
    prefix: Key,
    from: StoreRevision,
    revisions: watch::Receiver<StoreRevision>,
}

impl<C: Clock> MemWatch<C> {
    /// Creates a watch. `revisions` must have been subscribed before `from` was read, so
    /// that no change is missed.
    pub(crate) fn new(
        store: MemStore<C>,
        prefix: Key,
        from: StoreRevision,
        revisions: watch::Receiver<StoreRevision>,
    ) -> MemWatch<C> {
        MemWatch { store, prefix, from, revisions }
    }

    /// Returns the changes since the last call without waiting; the batch may be empty.
    fn poll(&mut self) -> Result<WatchBatch, Error> {
        self.revisions.mark_unchanged();
        let batch = self.store.since(&self.prefix, self.from)?;
        // A watch that starts at a future revision waits for that revision.
        self.from = self.from.max(StoreRevision(batch.revision.0 + 1));
        Ok(batch)
    }
}

impl<C: Clock> Watch for MemWatch<C> {
    async fn next(&mut self) -> Result<WatchBatch, Error> {
        let progress_at = Instant::now() + PROGRESS_PERIOD;
        loop {
            let batch = self.poll()?;
            if !batch.changes.is_empty() || Instant::now() >= progress_at {
                return Ok(batch);
            }
            tokio::select! {
                // This can't fail: the watch holds the store, which holds the sender.
                _ = self.revisions.changed() => {}
                () = sleep_until(progress_at.min(Instant::now() + EXPIRY_CHECK_PERIOD)) => {}
            }
        }
    }
}
