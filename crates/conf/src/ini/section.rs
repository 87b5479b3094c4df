//! Sections and entries with their lines.

use smol_str::SmolStr;

use crate::ini::Diagnostic;

/// A key with its value.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// Line of the key, from 1.
    pub(crate) line: u32,
    /// Last line of the value.
    pub(crate) last: u32,
    /// The key.
    pub(crate) key: SmolStr,
    /// The value; continuation lines are joined by line breaks.
    pub(crate) value: String,
}

/// A section header with the entries under it.
#[derive(Debug, Clone)]
pub(crate) struct Section {
    /// The list or file.
    pub(crate) source: SmolStr,
    /// Line of the header, from 1.
    pub(crate) line: u32,
    /// The header without brackets.
    pub(crate) header: SmolStr,
    /// Entries in their order.
    pub(crate) entries: Vec<Entry>,
}

impl Section {
    /// Returns the first entry of a key.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|each| each.key == key)
    }

    /// Makes a fault at a key, or at the header if the key is absent.
    pub(crate) fn fault(
        &self,
        key: &str,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Diagnostic {
        let line = self.entry(key).map_or(self.line, |each| each.line);
        self.fault_at(line, key, problem, accepted)
    }

    /// Makes a fault at a line of this section.
    pub(crate) fn fault_at(
        &self,
        line: u32,
        key: &str,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic {
            source: self.source.clone(),
            line,
            section: self.header.clone(),
            key: key.into(),
            problem: problem.into(),
            accepted: accepted.into(),
        }
    }
}
