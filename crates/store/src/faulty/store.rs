//! A store behind faults.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::etcd::wire::TOO_MANY_REQUESTS;
use crate::faulty::control::Fate;
use crate::faulty::{CallKind, Fault, FaultControl, FaultyWatch};
use crate::{Entry, Error, Key, LeaseId, Listing, Store, StoreRevision, Txn, TxnOutcome};

/// Wraps a store with the faults that a [`FaultControl`] handle steers.
#[derive(Debug, Clone)]
pub struct FaultyStore<S> {
    inner: S,
    faults: FaultControl,
    memory: Arc<Mutex<Memory>>,
}

/// What the node was told, for stale reads and lapses.
#[derive(Debug, Default)]
struct Memory {
    gets: BTreeMap<Key, Option<Entry>>,
    ranges: BTreeMap<Key, Listing>,
    leases: BTreeSet<LeaseId>,
}

impl<S: Store> FaultyStore<S> {
    /// Wraps a store.
    pub fn new(inner: S, faults: FaultControl) -> FaultyStore<S> {
        FaultyStore { inner, faults, memory: Arc::default() }
    }

    /// Returns the store without faults.
    pub fn inner(&self) -> &S {
        &self.inner
    }

    /// Returns the handle that steers the faults.
    pub fn faults(&self) -> &FaultControl {
        &self.faults
    }

    /// Lets all leases lapse that were granted through this wrapper.
    pub async fn expire_leases(&self) {
        let leases = std::mem::take(&mut self.lock().leases);
        for lease in leases {
            // One that has lapsed or was revoked is gone already.
            let _ = self.inner.revoke(lease).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unavailable(call: CallKind) -> Error {
    Error::Unavailable { reason: format!("{call} met a fault") }
}

fn lost(call: CallKind) -> Error {
    if call.is_write() {
        Error::AnswerLost { reason: format!("{call} met a fault") }
    } else {
        unavailable(call)
    }
}

/// Runs a call as its fate has it.
async fn run<T: Send + 'static>(
    call: CallKind,
    fate: Fate,
    effect: impl Future<Output = Result<T, Error>> + Send + 'static,
) -> Result<T, Error> {
    if !fate.delay.is_zero() {
        sleep(fate.delay).await;
    }
    match fate.fault {
        None | Some(Fault::LeaseExpired) => effect.await,
        Some(Fault::Unavailable) => Err(unavailable(call)),
        Some(Fault::Throttled) => Err(Error::Unavailable { reason: TOO_MANY_REQUESTS.to_owned() }),
        Some(Fault::RequestLost) => Err(lost(call)),
        Some(Fault::AnswerLost) => {
            let _ = effect.await;
            Err(lost(call))
        }
        Some(Fault::DelayedEffect(delay)) => {
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = effect.await;
            });
            Err(lost(call))
        }
    }
}

impl<S: Store> Store for FaultyStore<S> {
    type Watch = FaultyWatch<S::Watch>;

    async fn get(&self, key: &Key) -> Result<Option<Entry>, Error> {
        let fate = self.faults.next(CallKind::Get);
        let told = if fate.stale { self.lock().gets.get(key).cloned() } else { None };
        let (inner, wanted) = (self.inner.clone(), key.clone());
        let effect = async move {
            match told {
                Some(told) => Ok(told),
                None => inner.get(&wanted).await,
            }
        };
        let entry = run(CallKind::Get, fate, effect).await?;
        self.lock().gets.insert(key.clone(), entry.clone());
        Ok(entry)
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        let fate = self.faults.next(CallKind::Range);
        let told = if fate.stale { self.lock().ranges.get(prefix).cloned() } else { None };
        let (inner, wanted) = (self.inner.clone(), prefix.clone());
        let effect = async move {
            match told {
                Some(told) => Ok(told),
                None => inner.range(&wanted).await,
            }
        };
        let listing = run(CallKind::Range, fate, effect).await?;
        self.lock().ranges.insert(prefix.clone(), listing.clone());
        Ok(listing)
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        let _open = self.faults.open_txn();
        let fate = self.faults.next(CallKind::Txn);
        let inner = self.inner.clone();
        run(CallKind::Txn, fate, async move { inner.commit(txn).await }).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let fate = self.faults.next(CallKind::Lease);
        let inner = self.inner.clone();
        let lease = run(CallKind::Lease, fate, async move { inner.grant(ttl).await }).await?;
        self.lock().leases.insert(lease);
        Ok(lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, Error> {
        let fate = self.faults.next(CallKind::Lease);
        let inner = self.inner.clone();
        let effect = async move {
            if fate.fault == Some(Fault::LeaseExpired) {
                inner.revoke(lease).await?;
            }
            inner.renew(lease).await
        };
        run(CallKind::Lease, fate, effect).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let fate = self.faults.next(CallKind::Lease);
        let inner = self.inner.clone();
        run(CallKind::Lease, fate, async move { inner.revoke(lease).await }).await?;
        self.lock().leases.remove(&lease);
        Ok(())
    }

    async fn watch(
        &self,
        prefix: &Key,
        from: StoreRevision,
    ) -> Result<FaultyWatch<S::Watch>, Error> {
        // Read first: a cut that comes while the watch opens ends it too.
        let signal = self.faults.signal();
        let ends = signal.borrow().ends;
        let fate = self.faults.next(CallKind::Watch);
        let (inner, prefix) = (self.inner.clone(), prefix.clone());
        let effect = async move { inner.watch(&prefix, from).await };
        Ok(FaultyWatch::new(run(CallKind::Watch, fate, effect).await?, signal, ends))
    }
}
