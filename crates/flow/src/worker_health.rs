//! What a worker's attempts show about it: its speed and how often attempts fail.

use std::collections::VecDeque;

use vg_base::prelude::*;

/// Number of completed attempts that are kept.
const MAX_COMPLETED: usize = 8;

/// A completed attempt whose duration was measured.
#[derive(Debug, Clone, Copy)]
struct Completed {
    at: Instant,
    /// Its duration relative to what was expected.
    ratio: f64,
}

/// What is known of one incarnation of a worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct WorkerHealth {
    completed: VecDeque<Completed>,
}

impl WorkerHealth {
    /// Records an attempt that took `ratio` times the expected duration.
    pub(crate) fn record_duration(&mut self, ratio: f64, now: Instant) {
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.pop_front();
        }
        self.completed.push_back(Completed { at: now, ratio });
    }

    /// Returns the durations, relative to what was expected, of attempts that have
    /// completed since `since`.
    pub(crate) fn ratios_since(&self, since: Instant) -> impl Iterator<Item = f64> {
        self.completed.iter().filter(move |each| each.at > since).map(|each| each.ratio)
    }
}
