//! A watch of the store in memory.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use vg_base::Clock;

use crate::mem::store::MemStore;
use crate::{Error, Key, StoreRevision, Watch, WatchBatch};

/// How often a waiting watch lets leases lapse.
const LAPSE_PERIOD: Duration = Duration::from_millis(20);

/// A watch without changes gives an empty batch after this time.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// A watch of a [`MemStore`].
#[derive(Debug)]
pub struct MemWatch<C> {
    store: MemStore<C>,
    prefix: Key,
    from: StoreRevision,
    written: watch::Receiver<StoreRevision>,
}

impl<C: Clock> MemWatch<C> {
    /// Makes a watch; `written` must have been subscribed before `from` was read.
    pub(crate) fn new(
        store: MemStore<C>,
        prefix: Key,
        from: StoreRevision,
        written: watch::Receiver<StoreRevision>,
    ) -> MemWatch<C> {
        MemWatch { store, prefix, from, written }
    }

    fn poll(&mut self) -> Result<WatchBatch, Error> {
        self.written.mark_unchanged();
        let batch = self.store.since(&self.prefix, self.from)?;
        // A watch from a later revision than the present one stays there.
        self.from = self.from.max(StoreRevision(batch.revision.0 + 1));
        Ok(batch)
    }
}

impl<C: Clock> Watch for MemWatch<C> {
    async fn next(&mut self) -> Result<WatchBatch, Error> {
        let progress = Instant::now() + PROGRESS_PERIOD;
        loop {
            let batch = self.poll()?;
            if !batch.changes.is_empty() || Instant::now() >= progress {
                return Ok(batch);
            }
            tokio::select! {
                // The sender lives as long as the store that this watch holds.
                _ = self.written.changed() => {}
                () = sleep_until(progress.min(Instant::now() + LAPSE_PERIOD)) => {}
            }
        }
    }
}
