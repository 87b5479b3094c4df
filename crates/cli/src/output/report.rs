//! What a command prints.

use serde::Serialize;

use crate::output::Style;

/// Something that is printed as text for people or as JSON for programs.
pub(crate) trait Report: Serialize {
    /// Returns the text, with its last line break.
    fn text(&self, style: Style) -> String;
}
