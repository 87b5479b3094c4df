//! Sums of what runs did.

use std::collections::HashSet;

use hdrhistogram::Histogram;

/// Time within which urgent work is to start, in milliseconds.
const START_GOAL_MILLIS: u64 = 3_800;

/// Sums of one or more runs.
#[derive(Debug, Clone)]
pub(super) struct Tally {
    /// Milliseconds from an urgent job's submission to its first start.
    pub(super) starts: Histogram<u64>,
    /// Urgent jobs that started later than they should.
    pub(super) late: u64,
    /// Background jobs that ended.
    pub(super) background: u64,
    /// Core-seconds that tasks used, and that there were.
    pub(super) used: f64,
    pub(super) capacity: f64,
    /// Tasks killed because a worker ran out of memory.
    pub(super) killed: u64,
    pub(super) unknown: u64,
    /// Acknowledged jobs that nobody knows any more.
    pub(super) lost: u64,
    pub(super) writes: u64,
    /// Node and batch period of each write, when a node's pools share them.
    pub(super) periods: HashSet<(usize, u64)>,
    pub(super) bytes: u64,
}

impl Default for Tally {
    fn default() -> Tally {
        // An hour in milliseconds at three digits is a valid range.
        let starts = Histogram::new_with_max(3_600_000, 3).unwrap_or_else(|_| unreachable!());
        Tally {
            starts,
            late: 0,
            background: 0,
            used: 0.0,
            capacity: 0.0,
            killed: 0,
            unknown: 0,
            lost: 0,
            writes: 0,
            periods: HashSet::new(),
            bytes: 0,
        }
    }
}

impl Tally {
    pub(super) fn started(&mut self, millis: u64) {
        self.starts.saturating_record(millis);
        self.late += u64::from(millis > START_GOAL_MILLIS);
    }
}

impl std::iter::Sum for Tally {
    fn sum<I: Iterator<Item = Tally>>(tallies: I) -> Tally {
        tallies.fold(Tally::default(), |mut sum, each| {
            sum.starts += &each.starts;
            sum.late += each.late;
            sum.background += each.background;
            sum.used += each.used;
            sum.capacity += each.capacity;
            sum.killed += each.killed;
            sum.unknown += each.unknown;
            sum.lost += each.lost;
            sum.writes += each.writes;
            sum.periods.extend(&each.periods);
            sum.bytes += each.bytes;
            sum
        })
    }
}
