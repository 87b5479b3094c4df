//! Decides from the calls and answers of one process whether its store answers.
//!
//! Load that this module handles: the store falls silent while jobs arrive at their
//! highest rate. Whatever is sent into the silence has an unknown outcome, so it has to be
//! noticed within a few calls. A store that is only slow, or loses some of its answers, has
//! to be told apart from that: it goes on being used.

use slotmap::{SlotMap, new_key_type};
use vg_base::prelude::*;

/// Shortest time without an answer after which the store is suspected to be silent.
const SUSPICION_MIN: Duration = Duration::from_millis(60);
/// Longest such time, however slow the store has been.
const SUSPICION_MAX: Duration = Duration::from_millis(450);
/// Multiple of the longest recent answer time after which the store is suspected.
const SUSPICION_FACTOR: u32 = 4;
/// Shortest time after which an answer counts as lost although later calls were answered.
const LOSS_MIN: Duration = Duration::from_millis(150);
/// Longest such time.
const LOSS_MAX: Duration = Duration::from_millis(900);
/// Multiple of the longest recent answer time after which an answer counts as lost.
const LOSS_FACTOR: u32 = 3;
/// Part of the longest recent answer time that remains after each further answer, in
/// sixteenths.
const DECAY_SIXTEENTHS: u32 = 15;

/// Duration of a suspicion from which it counts as an outage.
pub const OUTAGE_MIN: Duration = Duration::from_millis(300);

new_key_type! {
    /// Identifies a call in flight.
    pub struct CallKey;
}

/// The calls in flight, and what the answers to earlier ones show.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    /// When each call in flight was sent.
    calls: SlotMap<CallKey, Instant>,
    /// When the latest of the answered calls was sent.
    answered_until: Option<Instant>,
    /// Longest recent answer time, which decays.
    answer_time: Duration,
    /// Since when calls have failed and none was answered.
    failing_since: Option<Instant>,
    /// When the last outage ended.
    outage_end: Option<Instant>,
}

impl SilenceDetector {
    /// Notes that a call is sent.
    pub fn send(&mut self, now: Instant) -> CallKey {
        self.calls.insert(now)
    }

    /// Notes that a call was answered. The store may have refused what was asked, but it
    /// is there.
    pub fn answer(&mut self, key: CallKey, now: Instant) {
        if self.is_outage(now) {
            self.outage_end = Some(now);
        }
        let Some(sent) = self.calls.remove(key) else { return };
        let took = now.saturating_duration_since(sent);
        self.answer_time = took.max(self.answer_time * DECAY_SIXTEENTHS / 16);
        self.answered_until = self.answered_until.max(Some(sent));
        self.failing_since = None;
    }

    /// Notes that a call ended without an answer: it was turned away, its connection
    /// broke, or its time ran out.
    pub fn fail(&mut self, key: CallKey, now: Instant) {
        if self.calls.remove(key).is_some() {
            self.failing_since.get_or_insert(now);
        }
    }

    /// Notes that nobody waits for a call any more.
    pub fn abandon(&mut self, key: CallKey) {
        self.calls.remove(key);
    }

    /// Whether the answer to a call is lost: the call is older than any answer takes, and
    /// a later one was answered.
    pub fn is_lost(&self, key: CallKey, now: Instant) -> bool {
        let Some(&sent) = self.calls.get(key) else { return true };
        let age = now.saturating_duration_since(sent);
        age >= self.loss_time() && self.answered_until.is_some_and(|until| sent < until)
    }

    /// Time after which an answer counts as lost if later calls were answered.
    pub fn loss_time(&self) -> Duration {
        (self.answer_time * LOSS_FACTOR).clamp(LOSS_MIN, LOSS_MAX)
    }

    /// Returns from when on the store is suspected to be silent, if no answer comes until
    /// then; `None` if nothing speaks for it.
    pub fn suspicion_at(&self) -> Option<Instant> {
        let unanswered =
            self.calls.values().filter(|&&sent| self.answered_until.is_none_or(|at| sent > at));
        let since = unanswered.copied().chain(self.failing_since).min()?;
        Some(since + self.suspicion_time())
    }

    /// Whether the store is suspected to be silent.
    pub fn suspects(&self, now: Instant) -> bool {
        self.suspicion_at().is_some_and(|at| at <= now)
    }

    /// Returns the time since the last outage ended, zero during one; `None` if there was
    /// none.
    pub fn since_outage(&self, now: Instant) -> Option<Duration> {
        if self.is_outage(now) {
            return Some(Duration::ZERO);
        }
        self.outage_end.map(|end| now.saturating_duration_since(end))
    }

    /// Whether the store has been suspected for [`OUTAGE_MIN`].
    fn is_outage(&self, now: Instant) -> bool {
        self.suspicion_at().is_some_and(|at| at + OUTAGE_MIN <= now)
    }

    fn suspicion_time(&self) -> Duration {
        (self.answer_time * SUSPICION_FACTOR).clamp(SUSPICION_MIN, SUSPICION_MAX)
    }
}
