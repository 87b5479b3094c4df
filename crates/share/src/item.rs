//! What waits, and the ticket that stands for it.

use slotmap::new_key_type;
use vg_base::prelude::*;
use vg_conf::Class;

new_key_type! {
    /// Stands for one item from its offer to its end.
    pub struct Ticket;
}

/// A piece of work that asks for one slot of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkItem {
    /// The queue that it was sent to.
    pub queue: QueueId,
    /// The team that it counts against.
    pub team: TeamId,
    /// How its queue is ranked.
    pub class: Class,
    /// When its answer must have ended.
    pub deadline: Instant,
    /// The sender's guess of its run time. Only a hint until run times have
    /// been learned.
    pub expected: Duration,
}
