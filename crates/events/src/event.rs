//! One event.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Code, Stamp};

/// A named value of an event. Never a key or a body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Name, for instance `team`.
    pub name: SmolStr,
    /// Value as text.
    pub value: SmolStr,
}

impl Field {
    /// Makes a field from anything that can be displayed.
    pub fn new(name: &'static str, value: impl fmt::Display) -> Field {
        Field { name: SmolStr::new_static(name), value: smol_str::format_smolstr!("{value}") }
    }
}

/// Something that happened in one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, ordered over all processes.
    pub stamp: Stamp,
    /// Position in the process's own sequence, without gaps.
    pub serial: u64,
    /// The process, as `node/incarnation`.
    pub source: SmolStr,
    /// Number and name.
    pub code: Code,
    /// Details.
    pub fields: Vec<Field>,
}

impl Event {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|each| each.name == name).map(|each| each.value.as_str())
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.stamp, self.source, self.code)?;
        self.fields.iter().try_for_each(|each| write!(f, " {}={}", each.name, each.value))
    }
}
