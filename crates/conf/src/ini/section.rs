//! Sections and entries with their line numbers.

use smol_str::SmolStr;

use crate::ini::Diagnostic;

/// A key with its value and line numbers.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// Line number of the key, from 1.
    pub(crate) line: u32,
    /// Line number of the last line of the value.
    pub(crate) last_line: u32,
    /// The key.
    pub(crate) key: SmolStr,
    /// The value; continuation lines are joined by line breaks.
    pub(crate) value: String,
}

/// A section header with the entries under it.
#[derive(Debug, Clone)]
pub(crate) struct Section {
    /// Name of the list or file.
    pub(crate) source: SmolStr,
    /// Line number of the header, from 1.
    pub(crate) line: u32,
    /// The header without brackets.
    pub(crate) header: SmolStr,
    /// The entries in the order of their lines.
    pub(crate) entries: Vec<Entry>,
}

impl Section {
    /// Returns the first entry with a key.
    pub(crate) fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|each| each.key == key)
    }

    /// Makes a diagnostic at a key, or at the header if the key is absent.
    pub(crate) fn diagnostic(
        &self,
        key: &str,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) -> Diagnostic {
        let line = self.entry(key).map_or(self.line, |each| each.line);
        self.diagnostic_at(line, key, problem, accepted)
    }

    /// Makes a diagnostic at a line of this section.
    pub(crate) fn diagnostic_at(
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
