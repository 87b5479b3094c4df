//! What a file holds, by its first section.

use crate::ini::{Faults, scan};

/// A kind of file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// The list `plans`.
    Plans,
    /// The list `uses`.
    Uses,
    /// Settings of a process.
    Settings,
}

/// Tells from its first section what a text is.
pub fn content_of(text: &str) -> Content {
    let sections = scan("", text, &mut Faults::default());
    let header = sections.first().map(|section| section.header.as_str()).unwrap_or_default();
    match header.split(' ').next() {
        Some("plan") => Content::Plans,
        Some("pool" | "queue") => Content::Uses,
        _ => Content::Settings,
    }
}
