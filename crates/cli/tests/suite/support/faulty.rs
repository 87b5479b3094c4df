//! A store that loses requests and answers, delays writes and becomes unreachable.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use vg_store::{
    Entry, Error, Key, LeaseId, Listing, MemStore, Store, StoreRevision, Txn, TxnOutcome,
};

/// The fault of one call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// No fault.
    None,
    /// The call does not reach the store, and the error says so.
    Unreachable,
    /// The request is lost, so that the call has no effect. The caller can't tell this
    /// from a lost answer.
    RequestLost,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The answer is lost, and the call takes effect after some later calls.
    Delayed,
    /// The adapter sends the call twice and returns the second answer.
    SentTwice,
}

/// A store in memory that applies one fault to each call until the list of faults
/// is used up.
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
    pub(crate) fn set_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.lock().faults = faults.into_iter().collect();
    }

    /// Applies all delayed calls.
    pub(crate) async fn apply_delayed(&self) {
        let delayed = std::mem::take(&mut self.lock().delayed);
        for txn in delayed {
            let _ = self.inner.commit(txn).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Yields to other tasks, takes the next fault, and applies the oldest delayed call
    /// if more than one is waiting.
    async fn next_fault(&self) -> Fault {
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

fn unavailable<T>() -> Result<T, Error> {
    Err(Error::Unavailable { reason: "connection refused".to_owned() })
}

fn answer_lost<T>() -> Result<T, Error> {
    Err(Error::AnswerLost { reason: "connection reset".to_owned() })
}

impl Store for FaultyStore {
    type Watch = <MemStore as Store>::Watch;

    async fn get(&self, key: &Key) -> Result<Option<Entry>, Error> {
        match self.next_fault().await {
            Fault::None | Fault::SentTwice => self.inner.get(key).await,
            Fault::Unreachable => unavailable(),
            _ => answer_lost(),
        }
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        match self.next_fault().await {
            Fault::None | Fault::SentTwice => self.inner.range(prefix).await,
            Fault::Unreachable => unavailable(),
            _ => answer_lost(),
        }
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        match self.next_fault().await {
            Fault::None => self.inner.commit(txn).await,
            Fault::Unreachable => unavailable(),
            Fault::RequestLost => answer_lost(),
            Fault::AnswerLost => {
                let _ = self.inner.commit(txn).await;
                answer_lost()
            }
            Fault::Delayed => {
                self.lock().delayed.push(txn);
                answer_lost()
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
