//! Events and their fields.

use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Code, Stamp};

/// A named value of an event. It never holds a team's key or a body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Name of the field, for instance `team`.
    pub name: SmolStr,
    /// Value of the field as text.
    pub value: SmolStr,
}

impl Field {
    /// Creates a field from a value that can be displayed.
    pub fn new(name: &'static str, value: impl fmt::Display) -> Field {
        Field { name: SmolStr::new_static(name), value: smol_str::format_smolstr!("{value}") }
    }
}

/// An event that one process recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Hybrid logical time of the event, which orders events of all processes.
    pub stamp: Stamp,
    /// Position in the sequence of the process's events, which has no gaps.
    pub serial: u64,
    /// The process that recorded the event, as `node/incarnation`.
    pub source: SmolStr,
    /// Number and name of the event.
    pub code: Code,
    /// Details of the event.
    pub fields: Vec<Field>,
}

impl Event {
    /// Returns the value of the field `name`, if the event has it.
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
