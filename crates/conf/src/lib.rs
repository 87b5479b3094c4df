//! Parsing and rendering of the settings of a process and of the two lists that
//! operators edit.
//!
//! This crate turns text into checked types and back; its callers read the files
//! and the store (except [`settings::load`], which reads the settings file). All
//! diagnostics of a text are reported at once, each with its place and with what
//! is accepted there.

pub mod duration;
pub mod examples;
mod file_kind;
pub mod ini;
pub mod lists;
pub mod settings;
pub mod stored;

pub use file_kind::{FileKind, detect_kind};
pub use ini::{Diagnostic, Diagnostics};
pub use lists::{Access, Class, KeyDigest, Lists, Plan, Pool, Queue};
pub use settings::{Settings, SettingsError};
pub use stored::{ChangeId, StoredLists};
