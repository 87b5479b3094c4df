//! A store that loses answers, delays writes and is out of reach.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use vg_store::{
    Entry, Error, Key, LeaseId, Listing, MemStore, Store, StoreRevision, Txn, TxnOutcome,
};

/// What happens to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// The call does not reach the store, and the caller knows.
    Unreached,
    /// The answer is lost before the call took effect.
    LostBefore,
    /// The answer is lost after the call took effect.
    LostAfter,
    /// The answer is lost, and the call takes effect some calls later.
    Delayed,
    /// The adapter sends the call twice and returns the second answer.
    SentTwice,
}

/// A store in memory with one fault for each call, then none.
#[derive(Debug, Clone)]
pub(crate) struct FaultyStore {
    pub(crate) inner: MemStore,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    faults: VecDeque<Fault>,
    delayed: Vec<Txn>,
}

impl FaultyStore {
    pub(crate) fn new(faults: impl IntoIterator<Item = Fault>) -> FaultyStore {
        let state = State { faults: faults.into_iter().collect(), delayed: Vec::new() };
        FaultyStore {
            inner: MemStore::new(vg_base::SystemClock),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Sets the faults of the next calls.
    pub(crate) fn plan(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults = faults.into_iter().collect();
    }

    /// Lets all delayed calls take effect.
    pub(crate) async fn flush(&self) {
        let delayed = std::mem::take(&mut self.lock().delayed);
        for txn in delayed {
            let _ = self.inner.commit(txn).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Lets others run, takes the next fault, and runs an old delayed call.
    async fn next(&self) -> Fault {
        tokio::task::yield_now().await;
        let (fault, due) = {
            let mut state = self.lock();
            let fault = state.faults.pop_front().unwrap_or(Fault::None);
            let due = if state.delayed.len() > 1 { Some(state.delayed.remove(0)) } else { None };
            (fault, due)
        };
        if let Some(txn) = due {
            let _ = self.inner.commit(txn).await;
        }
        fault
    }
}

fn unreached<T>() -> Result<T, Error> {
    Err(Error::Unavailable { reason: "connection refused".to_owned() })
}

fn lost<T>() -> Result<T, Error> {
    Err(Error::AnswerLost { reason: "connection reset".to_owned() })
}

impl Store for FaultyStore {
    type Watch = <MemStore as Store>::Watch;

    async fn get(&self, key: &Key) -> Result<Option<Entry>, Error> {
        match self.next().await {
            Fault::None | Fault::SentTwice => self.inner.get(key).await,
            Fault::Unreached => unreached(),
            _ => lost(),
        }
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        match self.next().await {
            Fault::None | Fault::SentTwice => self.inner.range(prefix).await,
            Fault::Unreached => unreached(),
            _ => lost(),
        }
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        match self.next().await {
            Fault::None => self.inner.commit(txn).await,
            Fault::Unreached => unreached(),
            Fault::LostBefore => lost(),
            Fault::LostAfter => {
                let _ = self.inner.commit(txn).await;
                lost()
            }
            Fault::Delayed => {
                self.lock().delayed.push(txn);
                lost()
            }
            Fault::SentTwice => {
                let _ = self.inner.commit(txn.clone()).await;
                self.inner.commit(txn).await
            }
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.inner.grant(ttl).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, Error> {
        self.inner.renew(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.inner.revoke(lease).await
    }

    async fn watch(&self, prefix: &Key, from: StoreRevision) -> Result<Self::Watch, Error> {
        self.inner.watch(prefix, from).await
    }
}
