//! Settings of the process `verbenagapd`.
//!
//! One table defines the keys of the file, the flags, the help texts and the
//! operators' page. A flag overrides the file, and the file overrides the default.
//! Values are collected as text in [`RawSettings`] and then checked together into
//! [`Settings`], so that all diagnostics are reported at once.

mod check;
mod error;
mod flags;
mod log;
mod page;
mod parsers;
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
