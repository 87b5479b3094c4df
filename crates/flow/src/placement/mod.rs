//! Passes that give waiting tasks to workers: which worker, when it is kept free, which task
//! makes room, and how many starts wait for their answer.

pub(crate) mod advise;
pub(crate) mod hold;
pub(crate) mod place;
pub(crate) mod plan;
pub(crate) mod preempt;
pub(crate) mod speculative;
pub(crate) mod start_window;
pub(crate) mod throttle;
pub(crate) mod tickets;
