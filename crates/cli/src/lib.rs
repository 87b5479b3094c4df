//! The command line of operators and callers.
//!
//! [`run`] does one command. It reaches the world through [`System`],
//! [`Console`] and [`Platform`] only, so that whole sessions are tested without
//! a process, a file or a store. Whatever fails goes to standard error as lines
//! that begin with `verbenagap: `, say what was proved and what to do next.

mod app;
mod caller;
mod config;
mod console;
mod docs;
mod error;
mod exit;
mod extra;
mod key;
mod node;
mod options;
mod output;
mod platform;
pub mod revise;
mod session;
mod system;
mod timeline;

pub use app::{command, run};
pub use console::Console;
pub use error::Error;
pub use exit::Exit;
pub use extra::ExtraCommand;
pub use platform::Platform;
pub use system::{OsSystem, System};
