//! A store with injected faults.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::sleep;

use crate::etcd::wire::TOO_MANY_REQUESTS;
use crate::faulty::control::CallPlan;
use crate::faulty::{CallKind, Fault, FaultControl, FaultyWatch};
use crate::{Entry, Error, Key, LeaseId, Listing, Store, StoreRevision, Txn, TxnOutcome};

/// Wraps a store and injects the faults that a [`FaultControl`] handle controls.
#[derive(Debug, Clone)]
pub struct FaultyStore<S> {
    inner: S,
    faults: FaultControl,
    last_answers: Arc<Mutex<LastAnswers>>,
}

/// The last answers that the node got, for stale reads, and the leases granted to it.
#[derive(Debug, Default)]
struct LastAnswers {
    gets: BTreeMap<Key, Option<Entry>>,
    ranges: BTreeMap<Key, Listing>,
    leases: BTreeSet<LeaseId>,
}

impl<S: Store> FaultyStore<S> {
    /// Wraps a store.
    pub fn new(inner: S, faults: FaultControl) -> FaultyStore<S> {
        FaultyStore { inner, faults, last_answers: Arc::default() }
    }

    /// Returns the wrapped store, which has no faults.
    pub fn inner(&self) -> &S {
        &self.inner
    }

    /// Returns the handle that controls the faults.
    pub fn faults(&self) -> &FaultControl {
        &self.faults
    }

    /// Expires all leases that were granted through this wrapper or its clones.
    pub async fn expire_leases(&self) {
        let leases = std::mem::take(&mut self.lock().leases);
        for lease in leases {
            // An error means that the lease has already expired or was revoked.
            let _ = self.inner.revoke(lease).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, LastAnswers> {
        self.last_answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the error for a call that had no effect on the store.
fn unavailable(call: CallKind) -> Error {
    Error::Unavailable { reason: format!("{call} failed by an injected fault") }
}

/// Returns the error for a call whose answer is lost.
fn lost_answer(call: CallKind) -> Error {
    if call.is_write() {
        Error::AnswerLost { reason: format!("{call} failed by an injected fault") }
    } else {
        unavailable(call)
    }
}

/// Runs a call and injects the planned delay and fault.
async fn run_call<T: Send + 'static>(
    call: CallKind,
    plan: CallPlan,
    effect: impl Future<Output = Result<T, Error>> + Send + 'static,
) -> Result<T, Error> {
    if !plan.delay.is_zero() {
        sleep(plan.delay).await;
    }
    match plan.fault {
        None | Some(Fault::LeaseExpired) => effect.await,
        Some(Fault::Unavailable) => Err(unavailable(call)),
        Some(Fault::Throttled) => Err(Error::Unavailable { reason: TOO_MANY_REQUESTS.to_owned() }),
        Some(Fault::RequestLost) => {
            sleep(plan.loss_delay).await;
            Err(lost_answer(call))
        }
        Some(Fault::AnswerLost) => {
            let _ = effect.await;
            sleep(plan.loss_delay).await;
            Err(lost_answer(call))
        }
        Some(Fault::DelayedEffect(delay)) => {
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = effect.await;
            });
            Err(lost_answer(call))
        }
    }
}

impl<S: Store> Store for FaultyStore<S> {
    type Watch = FaultyWatch<S::Watch>;

    async fn get(&self, key: &Key) -> Result<Option<Entry>, Error> {
        let plan = self.faults.plan_call(CallKind::Get);
        let last = if plan.stale { self.lock().gets.get(key).cloned() } else { None };
        let (inner, wanted) = (self.inner.clone(), key.clone());
        let effect = async move {
            match last {
                Some(last) => Ok(last),
                None => inner.get(&wanted).await,
            }
        };
        let entry = run_call(CallKind::Get, plan, effect).await?;
        self.lock().gets.insert(key.clone(), entry.clone());
        Ok(entry)
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        let plan = self.faults.plan_call(CallKind::Range);
        let last = if plan.stale { self.lock().ranges.get(prefix).cloned() } else { None };
        let (inner, wanted) = (self.inner.clone(), prefix.clone());
        let effect = async move {
            match last {
                Some(last) => Ok(last),
                None => inner.range(&wanted).await,
            }
        };
        let listing = run_call(CallKind::Range, plan, effect).await?;
        self.lock().ranges.insert(prefix.clone(), listing.clone());
        Ok(listing)
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        let _open = self.faults.open_txn();
        let plan = self.faults.plan_call(CallKind::Txn);
        let inner = self.inner.clone();
        run_call(CallKind::Txn, plan, async move { inner.commit(txn).await }).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let plan = self.faults.plan_call(CallKind::Lease);
        let inner = self.inner.clone();
        let lease = run_call(CallKind::Lease, plan, async move { inner.grant(ttl).await }).await?;
        self.lock().leases.insert(lease);
        Ok(lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, Error> {
        let plan = self.faults.plan_call(CallKind::Lease);
        let inner = self.inner.clone();
        let effect = async move {
            if plan.fault == Some(Fault::LeaseExpired) {
                inner.revoke(lease).await?;
            }
            inner.renew(lease).await
        };
        run_call(CallKind::Lease, plan, effect).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let plan = self.faults.plan_call(CallKind::Lease);
        let inner = self.inner.clone();
        run_call(CallKind::Lease, plan, async move { inner.revoke(lease).await }).await?;
        self.lock().leases.remove(&lease);
        Ok(())
    }

    async fn watch(
        &self,
        prefix: &Key,
        from: StoreRevision,
    ) -> Result<FaultyWatch<S::Watch>, Error> {
        // The state is read before the watch is opened, so that a cut during the opening also
        // ends the new watch.
        let watch_state = self.faults.watch_state();
        let end_count = watch_state.borrow().end_count;
        let plan = self.faults.plan_call(CallKind::Watch);
        let (inner, prefix) = (self.inner.clone(), prefix.clone());
        let effect = async move { inner.watch(&prefix, from).await };
        Ok(FaultyWatch::new(run_call(CallKind::Watch, plan, effect).await?, watch_state, end_count))
    }
}
