//! Limits the start commands that wait for their answer.
//!
//! Load that this module handles: the leader's processor or link is used up. If it
//! sent all starts that the workers have capacity for, their answers would come after
//! their time limit. The starts would be stopped and sent again, polls would fail, and
//! leases of running tasks would lapse, which adds more load. Instead tasks wait in
//! memory, in the order of their ranks, and the window follows the time that answers
//! take.

use vg_base::prelude::*;

/// Window before any answer.
const INITIAL: usize = 256;
/// Smallest window.
const MIN: usize = 8;
/// Largest window.
const MAX: usize = 2048;
/// Time from which an answer counts as slow: a third of the limit of a command.
const SLOW_ANSWER: Duration = Duration::from_millis(150);
/// Interval at which the window is adapted.
const ADAPT_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum number of answers for a smaller window.
const MIN_ANSWERS: u32 = 4;
const SHRINK_FACTOR: f64 = 0.7;
const GROW_FACTOR: f64 = 1.25;
/// Time for which the window has held tasks back before new jobs are refused.
const LIMITED_TIME: Duration = Duration::from_secs(1);
/// Time to start all waiting tasks from which new jobs are refused.
const BACKLOG_TIME: Duration = Duration::from_secs(3);
/// Longest time for which jobs are refused before the backlog is looked at again.
const REFUSAL_MAX: Duration = Duration::from_secs(4);

/// The limit of unanswered start commands, and what it is adapted to.
#[derive(Debug)]
pub(crate) struct StartWindow {
    size: usize,
    /// Starts that may still be sent in this round.
    free: usize,
    /// Answers since the window was last adapted, and the slow ones among them.
    answers: u32,
    slow: u32,
    adapted: Option<Instant>,
    /// Whether the window has held a task back since it was last adapted.
    was_full: bool,
    /// Since when it holds tasks back.
    full_since: Option<Instant>,
    /// Starts that were answered in time, per second.
    rate: f64,
}

impl Default for StartWindow {
    fn default() -> StartWindow {
        StartWindow {
            size: INITIAL,
            free: INITIAL,
            answers: 0,
            slow: 0,
            adapted: None,
            was_full: false,
            full_since: None,
            rate: 0.0,
        }
    }
}

impl StartWindow {
    /// Begins a round in which `unanswered` starts wait for their answer.
    pub(crate) fn begin_round(&mut self, unanswered: usize, now: Instant) {
        let adapted = *self.adapted.get_or_insert(now);
        let passed = now.saturating_duration_since(adapted);
        if passed >= ADAPT_INTERVAL {
            self.adapt(passed, now);
        }
        self.free = self.size.saturating_sub(unanswered);
    }

    fn adapt(&mut self, passed: Duration, now: Instant) {
        let is_slow = self.answers >= MIN_ANSWERS && self.slow * 2 > self.answers;
        if is_slow {
            self.size = ((self.size as f64 * SHRINK_FACTOR) as usize).max(MIN);
        } else if self.was_full {
            self.size = ((self.size as f64 * GROW_FACTOR).ceil() as usize).min(MAX);
        }
        let in_time = f64::from(self.answers - self.slow) / passed.as_secs_f64();
        self.rate = (self.rate + in_time) / 2.0;
        self.full_since = self.was_full.then(|| self.full_since.unwrap_or(now));
        self.answers = 0;
        self.slow = 0;
        self.was_full = false;
        self.adapted = Some(now);
    }

    pub(crate) fn size(&self) -> usize {
        self.size
    }

    /// Whether `count` starts may be sent now. Notes that tasks are held back if
    /// not.
    pub(crate) fn allows(&mut self, count: usize) -> bool {
        // A gang that is larger than the window starts when nothing else does.
        let allowed = self.free >= count.min(self.size);
        self.was_full |= !allowed;
        allowed
    }

    /// Notes a start command.
    pub(crate) fn add(&mut self) {
        self.free = self.free.saturating_sub(1);
    }

    /// Notes the answer to a start, or that none came, `took` after the decision.
    pub(crate) fn record_answer(&mut self, took: Duration) {
        self.answers += 1;
        self.slow += u32::from(took >= SLOW_ANSWER);
    }

    /// Whether it has held tasks back for [`LIMITED_TIME`].
    pub(crate) fn is_limiting(&self, now: Instant) -> bool {
        self.full_since.is_some_and(|at| now.saturating_duration_since(at) >= LIMITED_TIME)
    }

    /// Returns for how long new jobs should be refused while the window holds tasks
    /// back; `None` if the `waiting` tasks, which could start now, start in time.
    pub(crate) fn refusal_time(&self, waiting: usize) -> Option<Duration> {
        let backlog = waiting as f64 / self.rate.max(1.0);
        (backlog >= BACKLOG_TIME.as_secs_f64())
            .then(|| Duration::from_secs_f64(backlog.min(REFUSAL_MAX.as_secs_f64())))
    }
}
