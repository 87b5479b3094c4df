//! Order of waiting work in one pool: shares, deadlines and floors.
//!
//! One [`Scheduler`] stands at the pool's owner and sees all of the pool's
//! waiting work. It decides which call takes a free slot, and refuses early
//! what can't end by its deadline. It does no I/O and has no clock: the caller
//! passes the time in.
//!
//! Teams compete by share over the slot time that they use, whatever queue,
//! class or entry host their work came through. The class of a queue only
//! reorders work within what its team is due.

mod choice;
mod credit;
mod entry;
mod item;
mod lane;
mod queue;
mod refusal;
mod rules;
mod scheduler;
mod service;
mod stats;
mod team;

pub use item::{Ticket, WorkItem};
pub use refusal::Refusal;
pub use rules::{PoolRules, QueueRule};
pub use scheduler::Scheduler;
pub use service::ServiceTimes;
pub use stats::{SchedulerStats, TeamStats};
