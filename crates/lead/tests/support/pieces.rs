//! A store whose calls are answered early, late or not at all, drawn for each piece of the
//! state from a seed.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use vg_base::prelude::*;
use vg_store::{Entry, Error, Key, LeaseId, Listing, Store, StoreRevision, Txn, TxnOutcome};

/// Longest delay of a read, and of the answer to a write.
const DELAY_MAX_MS: u64 = 400;
/// Longest time after which a write takes effect whose answer was lost.
const LATE_EFFECT_MAX_MS: u64 = 3000;

/// What happens to one call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Prompt,
    /// The store carries it out at once and answers late.
    AnsweredLate(Duration),
    /// The store carries it out late.
    CarriedOutLate(Duration),
    Refused,
    /// The answer to a write is lost, and the write takes effect late.
    Lost(Duration),
}

/// Draws what happens to the calls of one host; clones share the draws.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pieces {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    seed: Option<u64>,
    draws: HashMap<SmolStr, SmallRng>,
}

impl Pieces {
    /// Draws from a seed from now on; without one all calls are prompt.
    pub(crate) fn set_seed(&self, seed: Option<u64>) {
        *self.state.lock().unwrap() = State { seed, draws: HashMap::new() };
    }

    fn fate(&self, key: &Key) -> Fate {
        let mut state = self.state.lock().unwrap();
        let Some(seed) = state.seed else { return Fate::Prompt };
        let piece: SmolStr = key.0.split('/').take(2).collect::<Vec<_>>().join("/").into();
        let mut hasher = DefaultHasher::new();
        (seed, &piece).hash(&mut hasher);
        let rng =
            state.draws.entry(piece).or_insert_with(|| SmallRng::seed_from_u64(hasher.finish()));
        let delay = Duration::from_millis(rng.random_range(0..=DELAY_MAX_MS));
        match rng.random_range(0..100) {
            0..60 => Fate::Prompt,
            60..74 => Fate::AnsweredLate(delay),
            74..88 => Fate::CarriedOutLate(delay),
            88..95 => Fate::Refused,
            _ => Fate::Lost(Duration::from_millis(rng.random_range(0..=LATE_EFFECT_MAX_MS))),
        }
    }
}

/// Wraps a store; see [`Pieces`]. Leases and watches are as the wrapped store has them.
#[derive(Debug, Clone)]
pub(crate) struct PieceStore<S> {
    inner: S,
    pieces: Pieces,
}

impl<S: Store> PieceStore<S> {
    pub(crate) fn new(inner: S, pieces: Pieces) -> PieceStore<S> {
        PieceStore { inner, pieces }
    }

    async fn read<T>(
        &self,
        key: &Key,
        read: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        match self.pieces.fate(key) {
            Fate::Prompt => read.await,
            Fate::AnsweredLate(delay) => {
                let answer = read.await;
                tokio::time::sleep(delay).await;
                answer
            }
            Fate::CarriedOutLate(delay) => {
                tokio::time::sleep(delay).await;
                read.await
            }
            Fate::Refused | Fate::Lost(_) => Err(refused()),
        }
    }
}

fn refused() -> Error {
    Error::Unavailable { reason: "refused by a drawn fault".to_owned() }
}

impl<S: Store> Store for PieceStore<S> {
    type Watch = S::Watch;

    async fn get(&self, key: &Key) -> Result<Option<Entry>, Error> {
        self.read(key, self.inner.get(key)).await
    }

    async fn range(&self, prefix: &Key) -> Result<Listing, Error> {
        self.read(prefix, self.inner.range(prefix)).await
    }

    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, Error> {
        let Some(first) = txn.changes.first() else { return self.inner.commit(txn).await };
        match self.pieces.fate(first.key()) {
            Fate::Prompt => self.inner.commit(txn).await,
            Fate::AnsweredLate(delay) => {
                let answer = self.inner.commit(txn).await;
                tokio::time::sleep(delay).await;
                answer
            }
            Fate::CarriedOutLate(delay) => {
                tokio::time::sleep(delay).await;
                self.inner.commit(txn).await
            }
            Fate::Refused => Err(refused()),
            Fate::Lost(delay) => {
                let inner = self.inner.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    _ = inner.commit(txn).await;
                });
                Err(Error::AnswerLost { reason: "lost by a drawn fault".to_owned() })
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

    async fn watch(&self, prefix: &Key, from: StoreRevision) -> Result<S::Watch, Error> {
        self.inner.watch(prefix, from).await
    }
}
