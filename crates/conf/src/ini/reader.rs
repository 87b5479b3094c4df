//! Typed reading of the keys of one section.

use crate::ini::diagnostic::quoted;
use crate::ini::{Diagnostics, Section, ValueParser, suggestion};

/// Reads the keys of one section and records what is wrong with them.
///
/// For a key that is missing or has an invalid value, a diagnostic is recorded
/// and the result is `None`, so that the other keys are still checked.
#[derive(Debug)]
pub(crate) struct SectionReader<'a> {
    section: &'a Section,
    diagnostics: &'a mut Diagnostics,
    known_keys: Vec<&'static str>,
}

impl<'a> SectionReader<'a> {
    /// Makes a reader of a section.
    pub(crate) fn new(section: &'a Section, diagnostics: &'a mut Diagnostics) -> SectionReader<'a> {
        SectionReader { section, diagnostics, known_keys: Vec::new() }
    }

    /// Reads a required key.
    pub(crate) fn required<T>(&mut self, key: &'static str, parser: &ValueParser<T>) -> Option<T> {
        self.known_keys.push(key);
        if self.section.entry(key).is_none() {
            let problem = format!("the key `{key}` is missing");
            self.diagnostics.push(self.section.diagnostic(key, problem, parser.accepted));
            return None;
        }
        self.read(key, parser)
    }

    /// Reads a key, or returns `default` if the key is absent.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        default: T,
        parser: &ValueParser<T>,
    ) -> Option<T> {
        self.known_keys.push(key);
        if self.section.entry(key).is_none() {
            return Some(default);
        }
        self.read(key, parser)
    }

    /// Returns whether the section has a key.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.section.entry(key).is_some()
    }

    /// Records a diagnostic at a key.
    pub(crate) fn report(
        &mut self,
        key: &str,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        self.diagnostics.push(self.section.diagnostic(key, problem, accepted));
    }

    /// Records a diagnostic for each key that was never read and for each key that
    /// is given twice.
    pub(crate) fn finish(self) {
        for (index, entry) in self.section.entries.iter().enumerate() {
            if self.diagnostics.is_full() {
                return;
            }
            let key = entry.key.as_str();
            if !self.known_keys.contains(&key) {
                let suggestion = suggestion(key, self.known_keys.iter().copied());
                let problem = format!("the key {} is not known{suggestion}", quoted(key));
                let accepted = self.known_keys.join(", ");
                self.diagnostics
                    .push(self.section.diagnostic_at(entry.line, "", problem, accepted));
                continue;
            }
            let earlier = self.section.entries[..index].iter().find(|each| each.key == key);
            if let Some(first) = earlier {
                let problem = format!("the key is given twice, first in line {}", first.line);
                self.diagnostics.push(self.section.diagnostic_at(
                    entry.line,
                    key,
                    problem,
                    "one value",
                ));
            }
        }
    }

    fn read<T>(&mut self, key: &str, parser: &ValueParser<T>) -> Option<T> {
        let entry = self.section.entry(key)?;
        match (parser.parse)(&entry.value) {
            Ok(value) => Some(value),
            Err(problem) => {
                self.diagnostics.push(self.section.diagnostic(key, problem, parser.accepted));
                None
            }
        }
    }
}
