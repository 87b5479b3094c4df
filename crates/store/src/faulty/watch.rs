//! A watch with injected faults.

use tokio::sync::watch;

use crate::faulty::watch_state::WatchState;
use crate::{Error, Watch, WatchBatch};

/// A watch that a [`FaultControl`](crate::FaultControl) can end or silence.
#[derive(Debug)]
pub struct FaultyWatch<W> {
    inner: W,
    watch_state: watch::Receiver<WatchState>,
    end_count: u64,
}

impl<W: Watch> FaultyWatch<W> {
    /// Wraps a watch. `end_count` must have been read before the watch was opened.
    pub(crate) fn new(
        inner: W,
        watch_state: watch::Receiver<WatchState>,
        end_count: u64,
    ) -> FaultyWatch<W> {
        FaultyWatch { inner, watch_state, end_count }
    }
}

impl<W: Watch> Watch for FaultyWatch<W> {
    async fn next(&mut self) -> Result<WatchBatch, Error> {
        loop {
            let watch_state = *self.watch_state.borrow_and_update();
            if watch_state.end_count != self.end_count {
                return Err(watch_state.error());
            }
            tokio::select! {
                biased;
                changed = self.watch_state.changed() => {
                    changed.map_err(|_| watch_state.error())?;
                }
                batch = self.inner.next(), if !watch_state.silent => return batch,
            }
        }
    }
}
