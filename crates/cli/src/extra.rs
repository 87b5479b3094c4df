//! Further commands of the program that this library does not know.

use clap::{ArgMatches, Command};

use crate::{Console, Exit};

/// A command that the program adds, for instance the demo.
#[derive(Debug, Clone, Copy)]
pub struct ExtraCommand {
    /// Makes the command; its name must be unlike the others.
    pub command: fn() -> Command,
    /// Runs it. Messages of failure follow the rules of this crate.
    pub run: fn(&ArgMatches, &mut Console<'_>) -> Exit,
}
