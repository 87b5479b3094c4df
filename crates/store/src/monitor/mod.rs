//! A store whose calls are held back while it does not answer, and whose lost answers are
//! noticed early.
//!
//! Load that this module handles: see [`SilenceDetector`]. A call that is held back was not
//! sent, so that its error truthfully says that it had no effect. Somebody has to probe a
//! store that is suspected to be silent ([`MonitoredStore::probe`]): no other call tells
//! when it is back.

mod detector;
mod watch;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, watch as value};
use vg_base::prelude::*;

use crate::{Entry, Error, Key, LeaseId, Listing, Store, StoreRevision, Txn, TxnOutcome};

pub use self::detector::{CallKey, OUTAGE_MIN, SilenceDetector};
pub use self::watch::MonitoredWatch;

/// Maximum time for which a call is held back while the store does not answer.
const HOLD_MAX: Duration = Duration::from_millis(900);

/// A store whose calls and answers are monitored; clones share what is known.
#[derive(Debug)]
pub struct MonitoredStore<S, C: Clock> {
    inner: S,
    shared: Arc<Shared<C>>,
}

#[derive(Debug)]
struct Shared<C> {
    clock: C,
    detector: Mutex<SilenceDetector>,
    /// When the store last answered.
    last_answer: Mutex<Option<DualInstant>>,
    /// Number of answers; calls that wait follow it.
    answers: value::Sender<u64>,
    /// Notified when a call is sent or has failed.
    activity: Notify,
}

/// A call in flight. Dropped before its outcome is noted, it counts as abandoned.
struct Call<'a, C> {
    shared: &'a Shared<C>,
    key: CallKey,
}

impl<S: Clone, C: Clock> Clone for MonitoredStore<S, C> {
    fn clone(&self) -> Self {
        MonitoredStore { inner: self.inner.clone(), shared: Arc::clone(&self.shared) }
    }
}

impl<C> Drop for Call<'_, C> {
    fn drop(&mut self) {
        self.shared.detector().abandon(self.key);
    }
}

impl<C> Shared<C> {
    fn detector(&self) -> MutexGuard<'_, SilenceDetector> {
        self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> Shared<C> {
    /// Notes the start of a call.
    fn send(&self) -> Call<'_, C> {
        let key = self.detector().send(self.clock.now());
        self.activity.notify_one();
        Call { shared: self, key }
    }

    /// Notes that the store answered something.
    fn note_answer(&self) {
        let last_answer = Some(DualInstant::now(&self.clock));
        *self.last_answer.lock().unwrap_or_else(PoisonError::into_inner) = last_answer;
        self.answers.send_modify(|answers| *answers = answers.wrapping_add(1));
    }

    /// Waits until the answer of a call is known to be lost.
    async fn lost(&self, call: &Call<'_, C>) {
        let mut answers = self.answers.subscribe();
        let loss_time = self.detector().loss_time();
        tokio::time::sleep(loss_time).await;
        loop {
            // If the process was late, the answer may be there and not read yet.
            tokio::task::yield_now().await;
            answers.borrow_and_update();
            if self.detector().is_lost(call.key, self.clock.now()) {
                return;
            }
            let _ = tokio::time::timeout(loss_time, answers.changed()).await;
        }
    }
}

impl<C: Clock> Call<'_, C> {
    /// Notes the outcome of the call.
    fn end<T>(self, outcome: &Result<T, Error>) {
        let now = self.shared.clock.now();
        if is_answer(outcome) {
            self.shared.detector().answer(self.key, now);
            self.shared.note_answer();
        } else {
            self.shared.detector().fail(self.key, now);
            self.shared.activity.notify_one();
        }
    }
}

/// Whether the store gave an answer, be it a refusal of what was asked.
fn is_answer<T>(outcome: &Result<T, Error>) -> bool {
    !matches!(
        outcome,
        Err(Error::Unavailable { .. } | Error::AnswerLost { .. } | Error::Malformed { .. })
    )
}

impl<S: Store, C: Clock> MonitoredStore<S, C> {
    /// Wraps a store of which nothing is known yet.
    pub fn new(inner: S, clock: C) -> MonitoredStore<S, C> {
        let shared = Shared {
            clock,
            detector: Mutex::default(),
            last_answer: Mutex::default(),
            answers: value::Sender::new(0),
            activity: Notify::new(),
        };
        MonitoredStore { inner, shared: Arc::new(shared) }
    }

    /// Whether calls are held back, because the store is suspected to be silent.
    pub fn is_held(&self) -> bool {
        self.shared.detector().suspects(self.shared.clock.now())
    }

    /// Returns the time since the last outage of the store ended, zero during one; `None` if
    /// there was none.
    pub fn since_outage(&self) -> Option<Duration> {
        self.shared.detector().since_outage(self.shared.clock.now())
    }

    /// Returns the time since the store last answered; `Duration::MAX` if it never did.
    pub fn silence(&self) -> Duration {
        let last_answer = *self.shared.last_answer.lock().unwrap_or_else(PoisonError::into_inner);
        last_answer.map_or(Duration::MAX, |at| at.age(&self.shared.clock))
    }

    /// Waits until calls are not held back, for at most `limit`. Returns whether they may
    /// be sent.
    pub async fn wait_for_answers(&self, limit: Duration) -> bool {
        tokio::time::timeout(limit, self.wait_until_answered()).await.is_ok()
    }

    /// Waits until calls are not held back.
    async fn wait_until_answered(&self) {
        let mut answers = self.shared.answers.subscribe();
        while self.is_held() {
            if answers.changed().await.is_err() {
                return;
            }
        }
    }

    /// Reads a small key without being held back.
    pub async fn probe(&self, key: &Key) {
        let call = self.shared.send();
        let outcome = self.inner.get(key).await;
        call.end(&outcome);
    }

    /// Returns from when on the store is suspected to be silent, if no answer comes until
    /// then. `None` if nothing speaks for it; this may change when
    /// [`MonitoredStore::activity`] returns.
    pub fn suspicion_at(&self) -> Option<Instant> {
        self.shared.detector().suspicion_at()
    }

    /// Waits until a call has been sent or has failed since the last time. Only one waits.
    pub async fn activity(&self) {
        self.shared.activity.notified().await;
    }

    /// Waits until a call may be sent.
    async fn enter(&self) -> Result<(), Error> {
        if self.wait_for_answers(HOLD_MAX).await {
            return Ok(());
        }
        Err(Error::Unavailable { reason: "the store does not answer; not sent".to_owned() })
    }

    /// Makes a call that may take as long as its answer flows.
    async fn flowing_call<T>(
        &self,
        effect: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        self.enter().await?;
        let outcome = effect.await;
        if is_answer(&outcome) {
            self.shared.note_answer();
        }
        outcome
    }

    /// Makes a call, unless the store does not answer. Fails with `lost` once the answer is
    /// known to be lost.
    async fn call<T>(
        &self,
        effect: impl Future<Output = Result<T, Error>>,
        lost: fn(String) -> Error,
    ) -> Result<T, Error> {
        self.enter().await?;
        let call = self.shared.send();
        let outcome = tokio::select! {
            biased;
            outcome = effect => outcome,
            () = self.shared.lost(&call) => {
                return Err(lost("later calls were answered".to_owned()));
            }
        };
        call.end(&outcome);
        outcome
    }
}

/// The error of a read without an answer.
fn lost_read(reason: String) -> Error {
    Error::Unavailable { reason }
}

/// The error of a write without an answer.
fn lost_write(reason: String) -> Error {
    Error::AnswerLost { reason }
}

impl<S: Store, C: Clock> Store for MonitoredStore<S, C> {
    type Watch = MonitoredWatch<S, C>;

    async fn get(&self, key: &Key) -> Result<Option<Entry>, Error> {
        self.call(self.inner.get(key), lost_read).await
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        self.flowing_call(self.inner.range(prefix)).await
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        self.call(self.inner.commit(txn), lost_write).await
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        self.call(self.inner.grant(ttl), lost_write).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, Error> {
        self.call(self.inner.renew(lease), lost_write).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        self.call(self.inner.revoke(lease), lost_write).await
    }

    async fn watch(
        &self,
        prefix: &Key,
        from: StoreRevision,
    ) -> Result<MonitoredWatch<S, C>, Error> {
        let watch = self.inner.watch(prefix, from).await?;
        Ok(MonitoredWatch::new(self.clone(), watch))
    }
}
