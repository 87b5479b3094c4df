//! Detection of what an INI file holds, by its first section.

use crate::ini::{Diagnostics, scan};

/// What an INI file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// The list `plans`.
    Plans,
    /// The list `uses`.
    Uses,
    /// Settings of a process.
    Settings,
}

/// Detects the kind of a text by its first section.
///
/// A text without a known first section counts as settings.
pub fn detect_kind(text: &str) -> FileKind {
    let sections = scan("", text, &mut Diagnostics::default());
    let header = sections.first().map(|section| section.header.as_str()).unwrap_or_default();
    match header.split(' ').next() {
        Some("plan") => FileKind::Plans,
        Some("pool" | "queue") => FileKind::Uses,
        _ => FileKind::Settings,
    }
}
