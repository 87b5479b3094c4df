//! Settings of the process `verbenagapd`.
//!
//! One table gives the file's keys, the flags, the help text and the
//! operators' page. Flags go before the file, the file before the defaults.
//! Texts are collected as [`RawSettings`] and lowered to checked [`Settings`] at once,
//! so that all diagnostics of a start are seen in one go.

mod check;
mod error;
mod flags;
mod kinds;
mod log;
mod page;
mod raw;
mod setting;
mod table;

pub use error::SettingsError;
pub use flags::{command, load};
pub use log::{LogFormat, LogLevel};
pub use page::page;
pub use raw::RawSettings;
pub use setting::Setting;
pub use table::{Settings, TABLE};
