//! One queue of the pool: its rule and what was learned of its work.

use vg_base::prelude::*;

use crate::{QueueRule, ServiceTimes};

/// Part of a queue's work whose run time the latest start leaves room for.
const START_QUANTILE: f64 = 0.98;
/// Part of a queue's work that must be able to end by the deadline for an
/// offer to be taken.
const OFFER_QUANTILE: f64 = 0.5;
/// How many of the free places one team may hold, for each place left free.
///
/// A queue that several teams use never fills up by one of them: with two, a
/// single team holds at most two thirds (dynamic thresholds after Choudhury
/// and Hahne, 1998).
const PLACES_FOR_EACH_FREE: usize = 2;

/// One queue of the pool: its rule and what was learned of its work.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) rule: QueueRule,
    /// Whether the rules in force name the queue.
    pub(crate) listed: bool,
    pub(crate) waiting: usize,
    pub(crate) service: ServiceTimes,
}

impl Queue {
    pub(crate) fn new(rule: QueueRule) -> Queue {
        Queue { rule, listed: true, waiting: 0, service: ServiceTimes::default() }
    }

    /// Whether a team that has `held` items waiting may add one.
    pub(crate) fn has_place(&self, held: usize) -> bool {
        let free = (self.rule.max_waiting as usize).saturating_sub(self.waiting);
        let most = if self.rule.multi_team { free * PLACES_FOR_EACH_FREE } else { usize::MAX };
        free > 0 && held < most
    }

    /// Returns the latest start for work due in `left`, counted from now, or
    /// nothing if it can't end in time.
    ///
    /// At most half of the time left is kept for the run: where run times are
    /// longer than that, work still starts, and shorter times are learned.
    pub(crate) fn start_within(&self, left: Duration, expected: Duration) -> Option<Duration> {
        let half = left / 2;
        let least = self.service.quantile(OFFER_QUANTILE, Duration::ZERO);
        if left.is_zero() || least.min(self.rule.deadline / 2) > left {
            return None;
        }
        let usual = self.service.quantile(START_QUANTILE, expected);
        Some(left - usual.min(half))
    }
}
