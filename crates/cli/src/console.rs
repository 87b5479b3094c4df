//! The standard streams of a command.

use std::fmt;
use std::io::{Read, Write};

/// The three streams of a command, and whether output goes to a terminal.
///
/// The streams are trait objects, because commands transfer little data through
/// them and no request of the daemon uses them.
pub struct Console<'a> {
    /// Standard input.
    pub input: &'a mut dyn Read,
    /// Standard output.
    pub out: &'a mut dyn Write,
    /// Standard error.
    pub err: &'a mut dyn Write,
    /// Whether output goes to a terminal that shows colours.
    pub terminal: bool,
}

impl fmt::Debug for Console<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Console").field("terminal", &self.terminal).finish_non_exhaustive()
    }
}
