//! Commands that the program adds to those of this library.

use clap::{ArgMatches, Command};

use crate::{Console, Exit};

/// A command that the program adds, for example the demo.
#[derive(Debug, Clone, Copy)]
pub struct ExtraCommand {
    /// Builds the command. Its name must differ from those of all other commands.
    pub command: fn() -> Command,
    /// Runs the command. Its error messages follow the rules of this crate.
    pub run: fn(&ArgMatches, &mut Console<'_>) -> Exit,
}
