//! Fleet capacity and maintenance manager, as a library.
//!
//! The programs `verbenagapd` (one entry host), `verbenagap` (command line) and
//! `verbenagap-standin` (local substitutes for the platform's services) only call
//! this crate, which builds on the other crates of the workspace.

pub mod daemon;
pub mod demo;
pub mod operator;
pub mod site;
pub mod standin;

/// Re-exports the types that most users of the library need.
pub mod prelude {
    pub use vg_base::prelude::*;
    pub use vg_entry::{NodeHandle, Options, Platform, Problem, ProblemCode, SystemPlatform};
    pub use vg_store::Store;
}
