//! Errors of reading the settings.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::Diagnostics;

/// The reason why the settings of a process can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The settings file can't be read.
    #[snafu(display("the settings file {} can't be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Settings are invalid or missing.
    #[snafu(display("{diagnostics}"))]
    Invalid {
        /// What is wrong with the settings.
        diagnostics: Diagnostics,
    },
}
