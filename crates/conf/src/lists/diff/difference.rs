//! One difference between two states of the lists.

use std::fmt;

use serde::Serialize;

use crate::lists::diff::{Effect, Subject};

/// One key of one section that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The section.
    pub subject: Subject,
    /// The key; `section` for a section that comes or goes.
    pub key: &'static str,
    /// Value before; `None`: not there.
    pub before: Option<String>,
    /// Value after; `None`: not there.
    pub after: Option<String>,
    /// What it does, one effect a team.
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
