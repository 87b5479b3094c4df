//! Errors of the settings.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::Diagnostics;

/// Why a process can't start with its settings.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("the settings file {} can't be read: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Settings are wrong or missing.
    #[snafu(display("{diagnostics}"))]
    Invalid {
        /// All that is wrong.
        diagnostics: Diagnostics,
    },
}
