//! Calls in flight to one callee, which handles them in turn.

use slotmap::SlotMap;
use vg_base::prelude::*;

use crate::RetryTokens;

/// A call is given up when it has taken this many times as long as expected, and
/// [`ANSWER_MARGIN`].
const TIMEOUT_FACTOR: u32 = 2;
/// Time for the way to the callee and back.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Pause after the first call that failed; it doubles with each further one in a row.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// Longest pause after a call that failed.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Number of failures in a row from which the pause does not grow.
const MAX_DOUBLINGS: u32 = 5;
/// Upper bound of how far answers are expected to exceed the stated times.
const MAX_SLOWNESS: f64 = 4.0;
/// Weight of an answer in the measured slowness.
const SLOWNESS_WEIGHT: f64 = 0.3;

slotmap::new_key_type! {
    /// Identifies a call in flight.
    pub struct CallKey;
}

/// A call that is to be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call {
    /// Time that the callee states for it.
    pub cost: Duration,
    /// Whether it repeats a call that failed.
    pub kind: CallKind,
}

/// Whether a call repeats another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// The item has not been asked about, or the last call was answered.
    First,
    /// The last call for the item failed.
    Retry,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The callee refused it, or could not be reached: it does no work on it.
    Refused,
    /// No answer came in time: the callee may still work on it.
    Unanswered,
}

/// Permission to make one call. It can't be copied or made elsewhere.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    key: CallKey,
    timeout: Duration,
}

impl Permit {
    /// Returns the call that is permitted.
    pub fn key(&self) -> CallKey {
        self.key
    }

    /// Returns the time after which the call is to be given up.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }
}

#[derive(Debug)]
struct InFlight {
    cost: Duration,
    /// When the callee could begin to work on it.
    begins: Instant,
    /// When the callee is expected to be done with it.
    ends: Instant,
    /// When the caller gives it up; `None` if it has.
    until: Option<Instant>,
}

/// The calls in flight to one callee.
#[derive(Debug)]
pub struct CallWindow {
    /// Largest number of calls in flight.
    size: usize,
    calls: SlotMap<CallKey, InFlight>,
    tokens: RetryTokens,
    /// How many times as long as stated the callee has taken, at least 1.
    slowness: f64,
    /// Calls that failed since the last answer.
    failures: u32,
    paused_until: Option<Instant>,
}

impl CallWindow {
    /// Creates a window for at most `size` calls in flight. Two keep a callee busy that
    /// handles one at a time.
    pub fn new(size: usize) -> CallWindow {
        CallWindow {
            size,
            calls: SlotMap::with_key(),
            tokens: RetryTokens::default(),
            slowness: 1.0,
            failures: 0,
            paused_until: None,
        }
    }

    /// Whether a call may be made now, apart from the limit of retries. After a failure
    /// one call at a time finds out whether the callee answers again.
    pub fn is_open(&mut self, now: Instant) -> bool {
        self.calls.retain(|_, call| !call.is_over(now));
        let size = if self.failures > 0 { 1 } else { self.size };
        self.calls.len() < size && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Whether the caller still waits for the answer to a call.
    pub fn is_awaited(&self, key: CallKey) -> bool {
        self.calls.get(key).is_some_and(|call| call.until.is_some())
    }

    /// Whether the callee has nothing to do.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.is_open(now) && self.calls.is_empty()
    }

    /// Admits a call if the window is open and, for a retry, a token is left.
    pub fn admit(&mut self, call: Call, now: Instant) -> Option<Permit> {
        if !self.is_open(now) || (call.kind == CallKind::Retry && !self.tokens.take(now)) {
            return None;
        }
        let begins = self.calls.values().map(|each| each.ends).fold(now, Instant::max);
        let ends = begins + self.expected(call.cost);
        let timeout = (ends - now) * TIMEOUT_FACTOR + ANSWER_MARGIN;
        let until = Some(now + timeout);
        let key = self.calls.insert(InFlight { cost: call.cost, begins, ends, until });
        Some(Permit { key, timeout })
    }

    /// Notes the answer to a call.
    pub fn answered(&mut self, key: CallKey, now: Instant) {
        self.tokens.record_success(now);
        self.failures = 0;
        self.paused_until = None;
        let Some(call) = self.calls.remove(key) else { return };
        let took = now.saturating_duration_since(call.begins).as_secs_f64();
        let measured = took / call.cost.as_secs_f64().max(f64::MIN_POSITIVE);
        let slowness = self.slowness + (measured - self.slowness) * SLOWNESS_WEIGHT;
        self.slowness = slowness.clamp(1.0, MAX_SLOWNESS);
        // The next one could begin earlier or later than expected.
        for each in self.calls.values_mut().filter(|each| each.until.is_some()) {
            let work = each.ends - each.begins;
            each.begins = now;
            each.ends = now + work;
        }
    }

    /// Notes that a call failed.
    pub fn failed(&mut self, key: CallKey, failure: Failure, now: Instant) {
        let pause = PAUSE_MIN * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.paused_until = Some(now + pause.min(PAUSE_MAX));
        match failure {
            Failure::Refused => _ = self.calls.remove(key),
            Failure::Unanswered => {
                let Some(call) = self.calls.get(key) else { return };
                let cost = call.cost;
                // A connection that breaks says nothing about the callee's speed.
                if call.until.is_some_and(|until| now >= until) {
                    self.slowness = (self.slowness * 2.0).min(MAX_SLOWNESS);
                }
                let ends = now + self.expected(cost);
                let call = &mut self.calls[key];
                *call = InFlight { cost, begins: now, ends, until: None };
            }
        }
    }

    /// Returns when the callee is expected to be done with all calls in flight.
    pub fn busy_until(&self) -> Option<Instant> {
        self.calls.values().map(|call| call.ends).max()
    }

    /// Returns how long the callee is expected to take for a call that it states `cost` for.
    pub fn expected(&self, cost: Duration) -> Duration {
        cost.mul_f64(self.slowness)
    }
}

impl InFlight {
    /// Whether the callee is done with it, although there was no answer. A call of which
    /// nothing was reported counts as given up in time.
    fn is_over(&self, now: Instant) -> bool {
        let work = self.ends - self.begins;
        now >= self.until.map_or(self.ends, |until| until + work)
    }
}
