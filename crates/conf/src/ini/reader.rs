//! Typed reading of one section's keys.

use crate::ini::fault::quoted;
use crate::ini::{Faults, Kind, Section, hint};

/// Reads the keys of one section and collects its faults.
///
/// A key that is wrong or missing gives `None` after its fault is recorded, so
/// that the other keys are still checked.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    section: &'a Section,
    faults: &'a mut Faults,
    known: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Starts to read a section.
    pub(crate) fn new(section: &'a Section, faults: &'a mut Faults) -> Reader<'a> {
        Reader { section, faults, known: Vec::new() }
    }

    /// Reads a key that must be there.
    pub(crate) fn required<T>(&mut self, key: &'static str, kind: &Kind<T>) -> Option<T> {
        self.known.push(key);
        if self.section.entry(key).is_none() {
            let wrong = format!("the key `{key}` is missing");
            self.faults.push(self.section.fault(key, wrong, kind.accepted));
            return None;
        }
        self.read(key, kind)
    }

    /// Reads a key that has a default.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        default: T,
        kind: &Kind<T>,
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
        wrong: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        self.faults.push(self.section.fault(key, wrong, accepted));
    }

    /// Records the keys that were not asked for, and those given twice.
    pub(crate) fn finish(self) {
        for (at, entry) in self.section.entries.iter().enumerate() {
            if self.faults.is_full() {
                return;
            }
            let key = entry.key.as_str();
            if !self.known.contains(&key) {
                let hint = hint(key, self.known.iter().copied());
                let wrong = format!("the key {} is not known{hint}", quoted(key));
                let accepted = self.known.join(", ");
                self.faults.push(self.section.fault_at(entry.line, "", wrong, accepted));
                continue;
            }
            let before = self.section.entries[..at].iter().find(|each| each.key == key);
            if let Some(first) = before {
                let wrong = format!("the key is given twice, first in line {}", first.line);
                self.faults.push(self.section.fault_at(entry.line, key, wrong, "one value"));
            }
        }
    }

    fn read<T>(&mut self, key: &str, kind: &Kind<T>) -> Option<T> {
        let entry = self.section.entry(key)?;
        match (kind.parse)(&entry.value) {
            Ok(value) => Some(value),
            Err(wrong) => {
                self.faults.push(self.section.fault(key, wrong, kind.accepted));
                None
            }
        }
    }
}
