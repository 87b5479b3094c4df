//! Diagnostics: what is wrong with a text, and at which place.

use std::fmt;

use smol_str::SmolStr;

/// Number of diagnostics that are kept; further ones are only counted.
const MAX_DIAGNOSTICS: usize = 100;

/// Number of characters of a rejected text that a diagnostic quotes.
const MAX_QUOTED_CHARS: usize = 60;

/// One problem of a text, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// Name of the list or file, or of another source of the text.
    pub source: SmolStr,
    /// Line number from 1, or 0 if the diagnostic concerns the whole text.
    pub line: u32,
    /// Section header without brackets, or empty outside of any section.
    pub section: SmolStr,
    /// Key, or empty if the diagnostic concerns the whole section.
    pub key: SmolStr,
    /// What is wrong.
    pub problem: String,
    /// What is accepted at this place.
    pub accepted: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.source)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}; accepted: {}", self.problem, self.accepted)
    }
}

/// The diagnostics of one or more texts, of which a limited number is kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Diagnostics {
    items: Vec<Diagnostic>,
    omitted: usize,
}

impl Diagnostics {
    /// Adds a diagnostic, or only counts it if the limit is reached.
    pub fn push(&mut self, diagnostic: Diagnostic) {
        self.push_with(|| diagnostic);
    }

    /// Adds a diagnostic that is expensive to make, or only counts it if the
    /// limit is reached; `make` is not called then.
    pub(crate) fn push_with(&mut self, make: impl FnOnce() -> Diagnostic) {
        if self.is_full() {
            self.omitted += 1;
        } else {
            self.items.push(make());
        }
    }

    /// Returns whether further diagnostics are only counted. Callers stop their
    /// search then.
    pub(crate) fn is_full(&self) -> bool {
        self.items.len() >= MAX_DIAGNOSTICS
    }

    /// Returns the kept diagnostics.
    pub fn as_slice(&self) -> &[Diagnostic] {
        &self.items
    }

    /// Returns the number of diagnostics that were counted but not kept.
    ///
    /// The text may have more: a search stops when the limit is reached.
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Returns `value` if there are no diagnostics.
    ///
    /// # Errors
    ///
    /// Returns the diagnostics, sorted by source and line.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Diagnostics> {
        if self.items.is_empty() {
            return Ok(value);
        }
        self.items.sort_by(|a, b| (&a.source, a.line).cmp(&(&b.source, b.line)));
        Err(self)
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.items.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{diagnostic}")?;
        }
        if self.omitted > 0 {
            write!(f, "\nand at least {} more", self.omitted)?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// Quotes a rejected text on one line, cut to `MAX_QUOTED_CHARS` characters.
pub(crate) fn quoted(text: &str) -> String {
    let mut quoted_text: String =
        text.chars().take(MAX_QUOTED_CHARS).flat_map(char::escape_debug).collect();
    if text.chars().nth(MAX_QUOTED_CHARS).is_some() {
        quoted_text.push('…');
    }
    format!("`{quoted_text}`")
}
