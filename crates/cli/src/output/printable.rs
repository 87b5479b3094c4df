//! Escaping of texts from other processes for a terminal.

use std::fmt::{self, Write};

/// Renders a text from another process with its control characters escaped, so
/// that the text can't control the terminal or forge lines of output.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Printable<'a>(pub(crate) &'a str);

impl fmt::Display for Printable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for c in self.0.chars() {
            if c.is_control() { write!(f, "{}", c.escape_default())? } else { f.write_char(c)? }
        }
        Ok(())
    }
}
