//! The record of what really ran, which tests ask for the truth.

mod guard;
mod log;
mod run;

pub use guard::RunGuard;
pub use log::RunLog;
pub use run::{Run, RunLabel};
