//! What a file holds, by its first section.

use crate::ini::{Diagnostics, scan};

/// A kind of file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// The list `plans`.
    Plans,
    /// The list `uses`.
    Uses,
    /// Settings of a process.
    Settings,
}

/// Tells from its first section what a text is.
pub fn detect_kind(text: &str) -> FileKind {
    let sections = scan("", text, &mut Diagnostics::default());
    let header = sections.first().map(|section| section.header.as_str()).unwrap_or_default();
    match header.split(' ').next() {
        Some("plan") => FileKind::Plans,
        Some("pool" | "queue") => FileKind::Uses,
        _ => FileKind::Settings,
    }
}
