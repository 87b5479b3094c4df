//! A watch behind faults.

use tokio::sync::watch;

use crate::faulty::signal::Signal;
use crate::{Error, Watch, WatchBatch};

/// A watch that can be cut or silenced.
#[derive(Debug)]
pub struct FaultyWatch<W> {
    inner: W,
    signal: watch::Receiver<Signal>,
    ends: u64,
}

impl<W: Watch> FaultyWatch<W> {
    /// Wraps a watch; `ends` was read before it was opened.
    pub(crate) fn new(inner: W, signal: watch::Receiver<Signal>, ends: u64) -> FaultyWatch<W> {
        FaultyWatch { inner, signal, ends }
    }
}

impl<W: Watch> Watch for FaultyWatch<W> {
    async fn next(&mut self) -> Result<WatchBatch, Error> {
        loop {
            let signal = *self.signal.borrow_and_update();
            if signal.ends != self.ends {
                return Err(signal.error());
            }
            tokio::select! {
                biased;
                changed = self.signal.changed() => {
                    changed.map_err(|_| signal.error())?;
                }
                batch = self.inner.next(), if !signal.silent => return batch,
            }
        }
    }
}
