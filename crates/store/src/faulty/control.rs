//! The handle that controls the injected faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::StoreRevision;
use crate::faulty::rate_limits::RateWindow;
use crate::faulty::watch_state::WatchState;
use crate::faulty::{CallCounts, CallKind, Fault, FaultOdds, RateLimits};

/// Controls the faults between one node and its store; clones control the same faults.
///
/// Each node of a test should have its own handle, so that one node can be cut off alone.
/// A call gets at most one fault: that of an outage ([`FaultControl::set_down`]), else that of
/// a rate limit, else the next scripted fault of its kind, else a random fault. A delay and
/// stale reads apply in addition.
#[derive(Debug, Clone, Default)]
pub struct FaultControl {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    watch_state: watch::Sender<WatchState>,
}

#[derive(Debug, Default)]
struct State {
    down: bool,
    silent: bool,
    /// For how long a call without an answer keeps its caller waiting.
    loss_delay: Duration,
    delay: Duration,
    stale: bool,
    rates: Option<RateWindow>,
    script: BTreeMap<CallKind, VecDeque<Fault>>,
    odds: Option<(SmallRng, FaultOdds)>,
    counts: CallCounts,
    /// Number of transactions in flight.
    open_txns: usize,
    /// Highest number of transactions that were in flight at the same time.
    max_open_txns: usize,
}

/// Counts a transaction as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenTxn(FaultControl);

impl Drop for OpenTxn {
    fn drop(&mut self) {
        self.0.lock().open_txns -= 1;
    }
}

/// The faults to inject into one call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallPlan {
    pub(crate) delay: Duration,
    pub(crate) loss_delay: Duration,
    pub(crate) fault: Option<Fault>,
    pub(crate) stale: bool,
}

impl FaultControl {
    /// Creates a handle without faults.
    pub fn new() -> FaultControl {
        FaultControl::default()
    }

    /// Cuts the node off from the store, which also ends its watches, or reconnects it.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        if down {
            self.cut_watches();
        }
    }

    /// Makes the store silent or ends that: the requests of calls are lost, and running
    /// watches deliver nothing.
    pub fn set_all_silent(&self, silent: bool) {
        self.lock().silent = silent;
        self.set_silent(silent);
    }

    /// Sets for how long a call whose request or answer is lost keeps its caller waiting.
    pub fn set_loss_delay(&self, delay: Duration) {
        self.lock().loss_delay = delay;
    }

    /// Delays each call by `delay`.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Sets whether each read is answered with the answer that the node got when it last read
    /// the same key or prefix, as a lagging follower does. The first read of a key or prefix
    /// is not stale.
    pub fn set_stale(&self, stale: bool) {
        self.lock().stale = stale;
    }

    /// Sets whether running watches deliver nothing, without an error.
    pub fn set_silent(&self, silent: bool) {
        self.shared.watch_state.send_modify(|watch_state| watch_state.silent = silent);
    }

    /// Injects a fault into the next `times` calls of a kind, after the faults that are
    /// already scripted for that kind.
    pub fn script(&self, call: CallKind, fault: Fault, times: usize) {
        let mut state = self.lock();
        state.script.entry(call).or_default().extend(std::iter::repeat_n(fault, times));
    }

    /// Limits the rates of calls; `None` removes the limits.
    pub fn set_rates(&self, rates: Option<RateLimits>) {
        self.lock().rates = rates.map(|rates| RateWindow::new(rates, Instant::now()));
    }

    /// Injects random faults with these probabilities, reproducibly from `seed`.
    pub fn set_odds(&self, seed: u64, odds: FaultOdds) {
        self.lock().odds = Some((SmallRng::seed_from_u64(seed), odds));
    }

    /// Ends all faults, and discards scripted faults that were not injected yet. Keeps the
    /// call counts and resets [`FaultControl::max_open_txns`].
    ///
    /// The number of transactions in flight is reset to zero too. A transaction that is in
    /// flight now still subtracts one when it ends; at zero this panics in builds with
    /// overflow checks, and wraps around in others.
    pub fn clear(&self) {
        let mut state = self.lock();
        *state = State { counts: state.counts, ..State::default() };
        drop(state);
        self.set_silent(false);
    }

    /// Ends all running watches, as a broken connection does.
    pub fn cut_watches(&self) {
        self.end_watches(None);
    }

    /// Ends all running watches with [`Error::Compacted`](crate::Error::Compacted) at `oldest`.
    pub fn compact_watches(&self, oldest: StoreRevision) {
        self.end_watches(Some(oldest));
    }

    /// Returns the number of calls so far, including those with an injected fault.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Returns the highest number of transactions that were in flight at the same time.
    pub fn max_open_txns(&self) -> usize {
        self.lock().max_open_txns
    }

    /// Counts a transaction as in flight until the returned guard is dropped.
    pub(crate) fn open_txn(&self) -> OpenTxn {
        let mut state = self.lock();
        state.open_txns += 1;
        state.max_open_txns = state.max_open_txns.max(state.open_txns);
        OpenTxn(self.clone())
    }

    /// Counts a call and decides which faults to inject into it.
    pub(crate) fn plan_call(&self, call: CallKind) -> CallPlan {
        let mut state = self.lock();
        state.counts.add(call);
        CallPlan {
            delay: state.delay,
            loss_delay: state.loss_delay,
            fault: state.next_fault(call),
            stale: state.stale,
        }
    }

    /// Returns the state that running watches follow.
    pub(crate) fn watch_state(&self) -> watch::Receiver<WatchState> {
        self.shared.watch_state.subscribe()
    }

    fn end_watches(&self, compacted: Option<StoreRevision>) {
        self.shared.watch_state.send_modify(|watch_state| {
            watch_state.end_count += 1;
            watch_state.compacted = compacted;
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns the fault of the next call, or `None` for no fault.
    fn next_fault(&mut self, call: CallKind) -> Option<Fault> {
        if self.down {
            return Some(Fault::Unavailable);
        }
        if self.silent {
            return Some(Fault::RequestLost);
        }
        if self.rates.as_mut().is_some_and(|rates| !rates.admit(call, Instant::now())) {
            self.counts.throttled += 1;
            return Some(Fault::Throttled);
        }
        let scripted = self.script.get_mut(&call).and_then(VecDeque::pop_front);
        scripted.or_else(|| {
            let (rng, odds) = self.odds.as_mut()?;
            odds.draw(rng)
        })
    }
}
