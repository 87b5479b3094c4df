//! One item from its offer to its end.

use vg_base::prelude::*;

use crate::WorkItem;
use crate::lane::Order;
use crate::team::TeamKey;

/// One item from its offer to its end.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) item: WorkItem,
    pub(crate) team: TeamKey,
    pub(crate) order: Order,
    pub(crate) state: State,
}

/// Whether an item has a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// It waits for a slot.
    Waiting,
    /// It was refused, and the caller has not fetched the refusal yet.
    Refused,
    /// It has had a slot since this time.
    Running(Instant),
}
