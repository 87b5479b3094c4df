//! A difference between two states of the lists.

use std::fmt;

use serde::Serialize;

use crate::lists::diff::{Effect, Subject};

/// A key of a section whose value differs, or a section that is added or removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The section.
    pub subject: Subject,
    /// The key, or `section` if the whole section is added or removed.
    pub key: &'static str,
    /// The value before, or `None` if there was none.
    pub before: Option<String>,
    /// The value after, or `None` if there is none.
    pub after: Option<String>,
    /// The effects on teams. A team may have more than one.
    pub effects: Vec<Effect>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.key)?;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, " {before} -> {after}")?,
            (None, Some(after)) => write!(f, " added {after}")?,
            (Some(before), None) => write!(f, " removed {before}")?,
            (None, None) => {}
        }
        let effects: Vec<String> = self.effects.iter().map(ToString::to_string).collect();
        if effects.is_empty() { Ok(()) } else { write!(f, " ({})", effects.join(", ")) }
    }
}
