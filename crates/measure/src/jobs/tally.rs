//! The figures of simulated runs.

use std::collections::HashSet;

use hdrhistogram::Histogram;

/// Time within which an urgent job should start, in milliseconds.
const START_TARGET_MILLIS: u64 = 3_800;

/// The figures of one or more runs, added up.
#[derive(Debug, Clone)]
pub(super) struct Tally {
    /// Milliseconds from the submission of an urgent job to its first start.
    pub(super) start_delays: Histogram<u64>,
    /// Number of urgent jobs that started after [`START_TARGET_MILLIS`].
    pub(super) late: u64,
    /// Number of background jobs that finished.
    pub(super) background_done: u64,
    /// Core-seconds that tasks used.
    pub(super) used_core_seconds: f64,
    /// Core-seconds that the workers had.
    pub(super) core_seconds: f64,
    /// Number of tasks that were killed because their worker ran out of memory.
    pub(super) memory_kills: u64,
    /// Number of jobs that ended with an unknown outcome.
    pub(super) unknown: u64,
    /// Number of acknowledged jobs that have no final state at the end.
    pub(super) lost: u64,
    /// Number of store writes.
    pub(super) writes: u64,
    /// Node and batch interval of each write. The size of the set is the number of writes if
    /// all pools of a node shared one write per batch interval.
    pub(super) intervals: HashSet<(usize, u64)>,
    /// Bytes written to the store.
    pub(super) bytes: u64,
}

impl Default for Tally {
    fn default() -> Tally {
        // A histogram up to an hour in milliseconds with three digits is valid.
        let start_delays = Histogram::new_with_max(3_600_000, 3).unwrap_or_else(|_| unreachable!());
        Tally {
            start_delays,
            late: 0,
            background_done: 0,
            used_core_seconds: 0.0,
            core_seconds: 0.0,
            memory_kills: 0,
            unknown: 0,
            lost: 0,
            writes: 0,
            intervals: HashSet::new(),
            bytes: 0,
        }
    }
}

impl Tally {
    /// Records the start delay of an urgent job.
    pub(super) fn record_start(&mut self, millis: u64) {
        self.start_delays.saturating_record(millis);
        self.late += u64::from(millis > START_TARGET_MILLIS);
    }
}

impl std::iter::Sum for Tally {
    fn sum<I: Iterator<Item = Tally>>(tallies: I) -> Tally {
        tallies.fold(Tally::default(), |mut sum, each| {
            sum.start_delays += &each.start_delays;
            sum.late += each.late;
            sum.background_done += each.background_done;
            sum.used_core_seconds += each.used_core_seconds;
            sum.core_seconds += each.core_seconds;
            sum.memory_kills += each.memory_kills;
            sum.unknown += each.unknown;
            sum.lost += each.lost;
            sum.writes += each.writes;
            sum.intervals.extend(&each.intervals);
            sum.bytes += each.bytes;
            sum
        })
    }
}
