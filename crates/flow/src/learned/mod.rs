//! What is learned of tasks' durations, in place of their estimates.

pub(crate) mod durations;
pub(crate) mod sketch;
pub(crate) mod step_durations;
