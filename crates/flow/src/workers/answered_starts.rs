//! Starts that a worker has answered, and that no report has shown yet.
//!
//! Load that this module handles: a worker is back under its id unnoticed, carries out starts
//! that were meant for its earlier life, and is cut off before it answers a poll. The answer
//! to a start names no life, but it has a reading of the worker's clock, which begins anew with
//! each life: an answer whose reading fits the clock of the life that is known comes from that
//! one, unless that life was so young when it last answered that a later one could read the
//! same by now. Any other may come from a later life, whose lease lasts as long as workers
//! permit: the deadline of the start is a time on the earlier life's clock, and so is that of
//! each call that is still on its way to it.
//!
//! A start without an answer may have been carried out in time by such a life as well.

use vg_base::prelude::*;

use crate::Scheduler;
use crate::jobs::attempt::AttemptKey;
use crate::rules::{MAX_CLOCK_DRIFT, WORKER_CLOCK_MARGIN, clock_bound};
use crate::workers::worker::{MESSAGE_DELAY_MAX, Worker, WorkerClock};

impl WorkerClock {
    /// Whether a reading in an answer that was received at `now` may be one of this clock.
    fn matches(&self, reading_ms: u64, now: Instant) -> bool {
        let difference = Duration::from_millis(self.reading(now).abs_diff(reading_ms));
        difference <= self.margin(now)
    }

    /// Whether a reading at `now` is none of a clock that began with a later life. That life
    /// began after the last answer of this one, which was made after its poll was sent.
    fn is_too_late(&self, reading_ms: u64, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.asked);
        Duration::from_millis(reading_ms) > age + self.margin(now)
    }

    fn margin(&self, now: Instant) -> Duration {
        let age = now.saturating_duration_since(self.asked);
        WORKER_CLOCK_MARGIN + age.mul_f64(MAX_CLOCK_DRIFT - 1.0)
    }
}

impl Scheduler {
    /// Notes the reading of its worker's clock in the answer by which a start was carried out.
    pub(crate) fn note_start_clock(&mut self, key: AttemptKey, reading_ms: u64, now: Instant) {
        let attempt = &mut self.attempts[key];
        let Some(clock) = self.workers[attempt.worker].clock else { return };
        attempt.matched = clock.matches(reading_ms, now);
        attempt.reported |= attempt.matched && clock.is_too_late(reading_ms, now);
    }

    /// Returns until when an attempt may run although its worker's lease has ended as far as
    /// leaders have asked for it; `None` if it may not. Continuous tasks do not wait for what may
    /// come.
    fn unseen_until(&self, key: AttemptKey) -> Option<Instant> {
        let attempt = &self.attempts[key];
        let worker = &self.workers[attempt.worker];
        let continuous = self.is_continuous(key);
        let last_renewal = match attempt.confirmed {
            _ if attempt.reported => return None,
            Some(confirmed) if continuous => confirmed,
            // It may well be the life that is known.
            Some(confirmed) if attempt.matched => confirmed.max(worker.call_sent?),
            // A call that has no answer may still be on its way, and renews the lease.
            Some(confirmed) => confirmed.max(worker.call_sent? + MESSAGE_DELAY_MAX),
            None if continuous || worker.gone || !attempt.may_have_begun() => return None,
            None => attempt.started.max(worker.call_sent?),
        };
        Some(last_renewal + clock_bound(self.rules.lease_max))
    }

    /// Whether an attempt may run in a life of an unreachable worker that is not known.
    pub(crate) fn may_run_in_unknown_life(&self, key: AttemptKey, now: Instant) -> bool {
        self.unseen_until(key).is_some_and(|until| now <= until)
    }

    /// Returns the time after which nothing can run on a worker that does not answer, in any
    /// life of it that has answered a start.
    pub(crate) fn last_run_end(&self, worker: &Worker) -> Instant {
        let unseen = worker.attempts.iter().filter_map(|&key| self.unseen_until(key));
        unseen.fold(worker.last_lease_end(), Instant::max)
    }
}
