//! Schedules the waiting work of one pool by shares, deadlines and a background
//! floor.
//!
//! The entry host that owns the pool has one [`Scheduler`], which sees all of the
//! pool's waiting work. The scheduler decides which call gets a free slot, and
//! refuses early the work that cannot finish by its deadline. It does no I/O and
//! has no clock: the caller passes the current time to each method.
//!
//! Teams compete for slot time in proportion to their shares, whichever queue,
//! class or entry host their work came through. The class of a queue only changes
//! the order of work within its team's share.

mod candidate;
mod entry;
mod item;
mod lane;
mod queue;
mod refusal;
mod rules;
mod scheduler;
mod service;
mod share_bounds;
mod stats;
mod team;

pub use item::{Ticket, WorkItem};
pub use refusal::Refusal;
pub use rules::{PoolRules, QueueRule};
pub use scheduler::Scheduler;
pub use service::ServiceTimes;
pub use stats::{SchedulerStats, TeamStats};
