//! The handle that steers the faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::StoreRevision;
use crate::faulty::rate_limits::RateWindow;
use crate::faulty::signal::Signal;
use crate::faulty::{CallCounts, CallKind, Fault, FaultOdds, RateLimits};

/// Steers the faults between one node and its store; clones steer the same.
///
/// Give each node of a test its own, so that one can be cut off alone.
/// Scripted faults come first, then random ones.
#[derive(Debug, Clone, Default)]
pub struct FaultControl {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    signal: watch::Sender<Signal>,
}

#[derive(Debug, Default)]
struct State {
    down: bool,
    delay: Duration,
    stale: bool,
    rates: Option<RateWindow>,
    script: BTreeMap<CallKind, VecDeque<Fault>>,
    odds: Option<(SmallRng, FaultOdds)>,
    counts: CallCounts,
    /// Transactions that are under way.
    open_txns: usize,
    /// The most that were under way at once.
    max_open_txns: usize,
}

/// A transaction that is under way until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenTxn(FaultControl);

impl Drop for OpenTxn {
    fn drop(&mut self) {
        self.0.lock().open_txns -= 1;
    }
}

/// What shall happen to one call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fate {
    pub(crate) delay: Duration,
    pub(crate) fault: Option<Fault>,
    pub(crate) stale: bool,
}

impl FaultControl {
    /// Makes a handle with no fault.
    pub fn new() -> FaultControl {
        FaultControl::default()
    }

    /// Cuts the node off from the store, watches included, or ends that.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        if down {
            self.cut_watches();
        }
    }

    /// Delays each call.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Answers reads with what the node was told when it last read the same,
    /// as a follower that lags does.
    pub fn set_stale(&self, stale: bool) {
        self.lock().stale = stale;
    }

    /// Lets running watches deliver nothing, without an error, or ends that.
    pub fn set_silent(&self, silent: bool) {
        self.shared.signal.send_modify(|signal| signal.silent = silent);
    }

    /// Lets the next `times` calls of a kind meet a fault, after those that
    /// are already scripted.
    pub fn script(&self, call: CallKind, fault: Fault, times: usize) {
        let mut state = self.lock();
        state.script.entry(call).or_default().extend(std::iter::repeat_n(fault, times));
    }

    /// Limits the rates of calls, or ends that.
    pub fn set_rates(&self, rates: Option<RateLimits>) {
        self.lock().rates = rates.map(|rates| RateWindow::new(rates, Instant::now()));
    }

    /// Lets calls meet faults at random.
    pub fn set_odds(&self, seed: u64, odds: FaultOdds) {
        self.lock().odds = Some((SmallRng::seed_from_u64(seed), odds));
    }

    /// Ends all faults; what was scripted and not met is forgotten.
    pub fn clear(&self) {
        let mut state = self.lock();
        *state = State { counts: state.counts, ..State::default() };
        drop(state);
        self.set_silent(false);
    }

    /// Ends all running watches, as a torn connection does.
    pub fn cut_watches(&self) {
        self.end_watches(None);
    }

    /// Ends all running watches as compacted below `oldest`.
    pub fn compact_watches(&self, oldest: StoreRevision) {
        self.end_watches(Some(oldest));
    }

    /// Returns the calls made so far, also those that met a fault.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Returns the most transactions that were under way at once.
    pub fn max_open_txns(&self) -> usize {
        self.lock().max_open_txns
    }

    pub(crate) fn open_txn(&self) -> OpenTxn {
        let mut state = self.lock();
        state.open_txns += 1;
        state.max_open_txns = state.max_open_txns.max(state.open_txns);
        OpenTxn(self.clone())
    }

    /// Counts a call and decides what happens to it.
    pub(crate) fn next(&self, call: CallKind) -> Fate {
        let mut state = self.lock();
        state.counts.add(call);
        Fate { delay: state.delay, fault: state.next_fault(call), stale: state.stale }
    }

    /// Returns what running watches follow.
    pub(crate) fn signal(&self) -> watch::Receiver<Signal> {
        self.shared.signal.subscribe()
    }

    fn end_watches(&self, compacted: Option<StoreRevision>) {
        self.shared.signal.send_modify(|signal| {
            signal.ends += 1;
            signal.compacted = compacted;
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn next_fault(&mut self, call: CallKind) -> Option<Fault> {
        if self.down {
            return Some(Fault::Unavailable);
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
