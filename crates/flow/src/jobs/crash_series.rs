//! Crashes of workers of a pool that follow each other.
//!
//! Load that this module handles: a rack that falls takes many workers at one moment, and a
//! deadly task takes one after the other. What comes at one moment is one event.

use std::collections::HashMap;

use vg_base::prelude::*;

/// Time after a crash under a task for which its pool is expected to have more of them.
const CRASH_MEMORY: Duration = Duration::from_secs(10);
/// Time between two crashes within which they may have one cause, as those of a rack have.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(300);

/// Crashes in a pool that follow each other within [`CRASH_MEMORY`]. Those within
/// [`COMMON_CAUSE_TIME`] are one event.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashSeries {
    last: Instant,
    events: usize,
    /// Workers that crashed in the last event.
    workers: usize,
}

impl CrashSeries {
    fn new(at: Instant) -> CrashSeries {
        CrashSeries { last: at, events: 1, workers: 1 }
    }

    fn add(&mut self, at: Instant) {
        let pause = at.saturating_duration_since(self.last);
        if pause >= CRASH_MEMORY {
            *self = CrashSeries::new(at);
        } else if pause >= COMMON_CAUSE_TIME {
            *self = CrashSeries { last: at, events: self.events + 1, workers: 1 };
        } else {
            *self = CrashSeries { last: at, workers: self.workers + 1, ..*self };
        }
    }

    /// Adds a crash to the series of a pool.
    pub(crate) fn note(all: &mut HashMap<PoolId, CrashSeries>, pool: PoolId, at: Instant) {
        let series = all.entry(pool);
        series.and_modify(|series| series.add(at)).or_insert_with(|| CrashSeries::new(at));
    }

    /// Returns the number of events of the series if it is going on.
    pub(crate) fn recent_events(&self, now: Instant) -> usize {
        if self.is_recent(now) { self.events } else { 0 }
    }

    /// Whether the next task may crash its worker too: the crashes came one after another,
    /// or of one worker alone.
    pub(crate) fn goes_on(&self, now: Instant) -> bool {
        self.is_recent(now) && (self.events > 1 || self.workers == 1)
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < CRASH_MEMORY
    }
}
