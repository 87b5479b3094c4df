//! One queue of the pool: its rule and its measured run times.

use vg_base::prelude::*;

use crate::{QueueRule, ServiceTimes};

/// Quantile of a queue's run times that the latest start of an item leaves before
/// the deadline.
const START_QUANTILE: f64 = 0.98;
/// Quantile of a queue's run times that must fit before the deadline for an item
/// to be accepted.
const OFFER_QUANTILE: f64 = 0.5;
/// Number of waiting items that one team may have in a queue for each free place.
///
/// A single team can therefore not fill a queue that several teams use: with a
/// factor of two, it holds at most two thirds of the places (dynamic thresholds
/// after Choudhury and Hahne, 1998).
const WAITING_PER_FREE_PLACE: usize = 2;

/// One queue of the pool: its rule and its measured run times.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) rule: QueueRule,
    /// Whether the current rules name the queue.
    pub(crate) listed: bool,
    pub(crate) waiting: usize,
    pub(crate) run_times: ServiceTimes,
}

impl Queue {
    pub(crate) fn new(rule: QueueRule) -> Queue {
        Queue { rule, listed: true, waiting: 0, run_times: ServiceTimes::default() }
    }

    /// Whether a team that has `waiting` items in the queue may add another one.
    pub(crate) fn has_capacity(&self, waiting: usize) -> bool {
        let free = (self.rule.max_waiting as usize).saturating_sub(self.waiting);
        let max_waiting =
            if self.rule.multi_team { free * WAITING_PER_FREE_PLACE } else { usize::MAX };
        free > 0 && waiting < max_waiting
    }

    /// Returns how long work that is due in `left` may wait, or `None` if it
    /// cannot end in time. `expected` is the run time that the sender declared.
    ///
    /// At most half of the time left is reserved for the run. Where run times are
    /// longer than that half, work still starts, so that shorter run times are
    /// measured when they occur.
    pub(crate) fn max_wait(&self, left: Duration, expected: Duration) -> Option<Duration> {
        let half = left / 2;
        let median = self.run_times.quantile(OFFER_QUANTILE, Duration::ZERO);
        if left.is_zero() || median.min(self.rule.deadline / 2) > left {
            return None;
        }
        let run_time = self.run_times.quantile(START_QUANTILE, expected);
        Some(left - run_time.min(half))
    }
}
