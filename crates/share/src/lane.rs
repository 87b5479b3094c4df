//! One team's waiting work in one queue.

use std::collections::BTreeSet;

use vg_base::prelude::*;

use crate::Ticket;

/// Place of an item among others: by its latest start, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Order {
    /// Latest start from which the item still ends by its deadline.
    pub(crate) start_by: Instant,
    /// Position in the order of arrival.
    pub(crate) serial: u64,
}

/// One team's waiting work in one queue, by latest start.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    /// What waits.
    pub(crate) waiting: BTreeSet<(Order, Ticket)>,
    /// Items that run.
    pub(crate) running: usize,
    /// Slot time used, in slot-seconds, against other lanes of the same team.
    pub(crate) clock: f64,
}

impl Lane {
    /// Returns the item with the earliest latest start.
    pub(crate) fn first(&self) -> Option<(Order, Ticket)> {
        self.waiting.first().copied()
    }

    /// Whether nothing waits or runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running == 0
    }

    /// Returns slot time used, with one typical run time for each item that
    /// runs.
    pub(crate) fn position(&self, typical: f64) -> f64 {
        self.clock + self.running as f64 * typical
    }
}
