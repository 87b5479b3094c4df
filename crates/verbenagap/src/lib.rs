//! Manager of fleet capacity and maintenance, as a library.
//!
//! The programs `verbenagapd` (one entry host), `verbenagap` (command line) and
//! `verbenagap-standin` (stand-ins of the platform) are thin shells over this
//! crate and those below it.

pub mod daemon;
pub mod demo;
pub mod operator;
pub mod site;
pub mod standin;

/// The types that most users of the library need.
pub mod prelude {
    pub use vg_base::prelude::*;
    pub use vg_entry::{NodeHandle, Options, Platform, Problem, ProblemCode, SystemPlatform};
    pub use vg_store::Store;
}
