//! Typed reading of one section's keys.

use crate::ini::fault::quoted;
use crate::ini::{Diagnostics, Section, ValueParser, hint};

/// Reads the keys of one section and collects its diagnostics.
///
/// A key that is wrong or missing gives `None` after its fault is recorded, so
/// that the other keys are still checked.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    section: &'a Section,
    diagnostics: &'a mut Diagnostics,
    known: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Starts to read a section.
    pub(crate) fn new(section: &'a Section, diagnostics: &'a mut Diagnostics) -> Reader<'a> {
        Reader { section, diagnostics, known: Vec::new() }
    }

    /// Reads a key that must be there.
    pub(crate) fn required<T>(&mut self, key: &'static str, kind: &ValueParser<T>) -> Option<T> {
        self.known.push(key);
        if self.section.entry(key).is_none() {
            let problem = format!("the key `{key}` is missing");
            self.diagnostics.push(self.section.fault(key, problem, kind.accepted));
            return None;
        }
        self.read(key, kind)
    }

    /// Reads a key that has a default.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        default: T,
        kind: &ValueParser<T>,
    ) -> Option<T> {
        self.known.push(key);
        if self.section.entry(key).is_none() {
            return Some(default);
        }
        self.read(key, kind)
    }

    /// Whether a key is there.
    pub(crate) fn has(&self, key: &str) -> bool {
        self.section.entry(key).is_some()
    }

    /// Records a fault at a key.
    pub(crate) fn fault(
        &mut self,
        key: &str,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        self.diagnostics.push(self.section.fault(key, problem, accepted));
    }

    /// Records the keys that were not asked for, and those given twice.
    pub(crate) fn finish(self) {
        for (at, entry) in self.section.entries.iter().enumerate() {
            if self.diagnostics.is_full() {
                return;
            }
            let key = entry.key.as_str();
            if !self.known.contains(&key) {
                let hint = hint(key, self.known.iter().copied());
                let problem = format!("the key {} is not known{hint}", quoted(key));
                let accepted = self.known.join(", ");
                self.diagnostics.push(self.section.fault_at(entry.line, "", problem, accepted));
                continue;
            }
            let before = self.section.entries[..at].iter().find(|each| each.key == key);
            if let Some(first) = before {
                let problem = format!("the key is given twice, first in line {}", first.line);
                self.diagnostics.push(self.section.fault_at(entry.line, key, problem, "one value"));
            }
        }
    }

    fn read<T>(&mut self, key: &str, kind: &ValueParser<T>) -> Option<T> {
        let entry = self.section.entry(key)?;
        match (kind.parse)(&entry.value) {
            Ok(value) => Some(value),
            Err(problem) => {
                self.diagnostics.push(self.section.fault(key, problem, kind.accepted));
                None
            }
        }
    }
}
