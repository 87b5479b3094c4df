//! A watch that is asked again at once when a silent store answers again.

use vg_base::prelude::*;

use super::MonitoredStore;
use crate::{Error, Store, Watch, WatchBatch};

/// Interval at which a watch that waits looks whether the store has fallen silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A watch through a [`MonitoredStore`].
#[derive(Debug)]
pub struct MonitoredWatch<S: Store, C: Clock> {
    store: MonitoredStore<S, C>,
    inner: S::Watch,
}

impl<S: Store, C: Clock> MonitoredWatch<S, C> {
    pub(super) fn new(store: MonitoredStore<S, C>, inner: S::Watch) -> MonitoredWatch<S, C> {
        MonitoredWatch { store, inner }
    }
}

/// Waits until the store has been silent and answers again.
async fn silence_over<S: Store, C: Clock>(store: &MonitoredStore<S, C>) {
    while !store.is_held() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    store.wait_until_answered().await;
}

impl<S: Store, C: Clock> Watch for MonitoredWatch<S, C> {
    async fn next(&mut self) -> Result<WatchBatch, Error> {
        loop {
            tokio::select! {
                biased;
                batch = self.inner.next() => {
                    if super::is_answer(&batch) {
                        self.store.shared.note_answer();
                    }
                    return batch;
                }
                // The call that waits was sent into the silence and may bring nothing more.
                () = silence_over(&self.store) => {}
            }
        }
    }
}
