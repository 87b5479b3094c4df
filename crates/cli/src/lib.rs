//! The command line for operators and callers.
//!
//! [`run`] runs one command. A command uses the operating system, the standard
//! streams and the store only through [`System`], [`Console`] and [`Platform`], so
//! that tests run whole sessions without a process, a file or a store. Errors are
//! written to standard error as lines that begin with `verbenagap: ` and say what is
//! known about the outcome and what to do next.

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
pub mod revision;
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
