//! The record of what was actually executed, which tests and the demo check the
//! guarantees of the system against.

mod guard;
mod log;
mod run;

pub use guard::RunGuard;
pub use log::RunLog;
pub use run::{Run, RunLabel};
