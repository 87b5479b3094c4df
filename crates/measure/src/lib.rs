//! Measurements of the decisions against baselines.
//!
//! Each subcommand of `vg-measure` drives decision code on model time, with a
//! seed, and prints figures with their units. Each measurement has a module
//! with a `command` that describes it and a `run` that prints its report. One of
//! them, `capacity`, measures a whole site on real time instead.

pub mod calls;
pub mod capacity;
mod error;
pub mod fleet;
pub mod jobs;
pub mod members;
pub mod report;

pub use error::Error;
