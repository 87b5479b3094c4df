//! The trait of everything that commands print as a result.

use serde::Serialize;

use crate::output::Style;

/// A result that is printed as text for people or as JSON for programs.
pub(crate) trait Report: Serialize {
    /// Returns the text, which ends with a line break.
    fn text(&self, style: Style) -> String;
}
