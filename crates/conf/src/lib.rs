//! Settings of a process and the two lists of the operators.
//!
//! Everything here is text in and checked types out, or the other way round;
//! files and the store are read by the callers. All diagnostics of a text are
//! reported at once, each with its place and what is accepted there.

mod content;
pub mod duration;
pub mod examples;
pub mod ini;
pub mod lists;
pub mod settings;
pub mod stored;

pub use content::{FileKind, detect_kind};
pub use ini::{Diagnostic, Diagnostics};
pub use lists::{Access, Class, KeyDigest, Lists, Plan, Pool, Queue};
pub use settings::{Settings, SettingsError};
pub use stored::{ChangeId, StoredLists};
