//! The scheduler's record of one item.

use vg_base::prelude::*;

use crate::WorkItem;
use crate::lane::StartOrder;
use crate::team::TeamKey;

/// The scheduler's record of one item, from the time it is accepted until it is
/// finished or its refusal is fetched.
#[derive(Debug)]
pub(crate) struct ItemEntry {
    pub(crate) item: WorkItem,
    pub(crate) team: TeamKey,
    pub(crate) order: StartOrder,
    pub(crate) state: ItemState,
}

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ItemState {
    /// The item waits for a slot.
    Waiting,
    /// The item was refused, and the caller has not fetched the refusal yet.
    Refused,
    /// The item has had a slot since this time.
    Running(Instant),
}
