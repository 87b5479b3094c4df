//! One team's waiting work in one queue.

use std::collections::BTreeSet;

use vg_base::prelude::*;

use crate::Ticket;

/// Position of an item among others: by its latest start, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StartOrder {
    /// Latest start at which the item is expected to end by its deadline.
    pub(crate) start_by: Instant,
    /// Sequence number of arrival.
    pub(crate) serial: u64,
}

/// One team's waiting work in one queue, ordered by latest start.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    /// The waiting items.
    pub(crate) waiting: BTreeSet<(StartOrder, Ticket)>,
    /// Number of running items.
    pub(crate) running: usize,
    /// Slot time used, in slot-seconds. It is compared with the other background
    /// lanes of the same team.
    pub(crate) used_secs: f64,
}

impl Lane {
    /// Returns the waiting item whose latest start comes first.
    pub(crate) fn first(&self) -> Option<(StartOrder, Ticket)> {
        self.waiting.first().copied()
    }

    /// Whether nothing waits or runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    /// Returns the slot time used, plus one typical run time for each running item.
    pub(crate) fn position(&self, typical_run: f64) -> f64 {
        self.used_secs + self.running as f64 * typical_run
    }
}
