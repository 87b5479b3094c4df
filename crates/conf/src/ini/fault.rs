//! What is wrong with a text, and where.

use std::fmt;

use smol_str::SmolStr;

/// Most diagnostics that are kept; the rest are only counted.
const MAX_DIAGNOSTICS: usize = 100;

/// Most characters of a refused text that are repeated in a fault.
const MOST_QUOTED: usize = 60;

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Diagnostic {
    /// The list or file.
    pub source: SmolStr,
    /// Line, from 1; 0: the text as a whole.
    pub line: u32,
    /// Section header without brackets; empty: outside of any.
    pub section: SmolStr,
    /// Key; empty: the section as a whole.
    pub key: SmolStr,
    /// What is wrong.
    pub problem: String,
    /// What is accepted in its place.
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

/// All diagnostics of a text, in the order of their lines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Diagnostics {
    found: Vec<Diagnostic>,
    omitted: usize,
}

impl Diagnostics {
    /// Adds a fault, or only counts it when there are many already.
    pub fn push(&mut self, fault: Diagnostic) {
        self.push_with(|| fault);
    }

    /// Adds a fault that costs something to make, or only counts it.
    pub(crate) fn push_with(&mut self, make: impl FnOnce() -> Diagnostic) {
        if self.is_full() {
            self.omitted += 1;
        } else {
            self.found.push(make());
        }
    }

    /// Whether further diagnostics are only counted, so that looking for more is
    /// no use.
    pub(crate) fn is_full(&self) -> bool {
        self.found.len() >= MAX_DIAGNOSTICS
    }

    /// Returns the diagnostics.
    pub fn as_slice(&self) -> &[Diagnostic] {
        &self.found
    }

    /// Returns how many more were found before the search was given up.
    pub fn omitted(&self) -> usize {
        self.omitted
    }

    /// Returns `value` if there are no diagnostics.
    ///
    /// # Errors
    ///
    /// The diagnostics, sorted by text and line.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Diagnostics> {
        if self.found.is_empty() {
            return Ok(value);
        }
        self.found.sort_by(|a, b| (&a.source, a.line).cmp(&(&b.source, b.line)));
        Err(self)
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, fault) in self.found.iter().enumerate() {
            if at > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        if self.omitted > 0 {
            write!(f, "\nand at least {} more", self.omitted)?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}

/// Quotes a refused text on one line, cut to a bounded length.
pub(crate) fn quoted(text: &str) -> String {
    let mut shown: String = text.chars().take(MOST_QUOTED).flat_map(char::escape_debug).collect();
    if text.chars().nth(MOST_QUOTED).is_some() {
        shown.push('…');
    }
    format!("`{shown}`")
}
