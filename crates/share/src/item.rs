//! Work items and the tickets that identify them.

use slotmap::new_key_type;
use vg_base::prelude::*;
use vg_conf::Class;

new_key_type! {
    /// Identifies one item from the time it is accepted until it is finished,
    /// refused, cancelled or drained.
    pub struct Ticket;
}

/// A piece of work that needs one slot of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// The queue to which the item was sent.
    pub queue: QueueId,
    /// The team whose share pays for the item.
    pub team: TeamId,
    /// Whether the queue has urgent or background work.
    pub class: Class,
    /// Time by which the answer must have ended.
    pub deadline: Instant,
    /// Run time that the sender expects. It is only used until enough run times of
    /// the queue have been measured.
    pub expected: Duration,
}
