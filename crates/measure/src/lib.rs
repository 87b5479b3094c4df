//! Measurements of the scheduling decisions against simple baselines.
//!
//! Each subcommand of `vg-measure` is a module with a function `command`, which describes
//! it, and a function `run`, which prints its report. Most subcommands simulate time: they
//! drive the decision code with seeded random input and print figures with their units. They
//! measure the cost of the decisions themselves in real time. The subcommand `capacity` instead
//! measures a complete site in real time.

pub mod calls;
pub mod capacity;
mod error;
pub mod fleet;
pub mod flow;
pub mod jobs;
pub mod members;
pub mod report;

pub use error::Error;
