//! Errors of the daemon.

use std::io;
use std::process::ExitCode;

use snafu::Snafu;

/// Why the daemon ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DaemonError {
    /// The settings are wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong, all of it.
        source: vg_conf::SettingsError,
    },
    /// The times of the settings don't fit together.
    #[snafu(display("times: {source}"))]
    Times {
        /// What doesn't fit.
        source: vg_peer::TimingError,
    },
    /// The log can't be started.
    #[snafu(display("log: {source}"))]
    Log {
        /// Cause.
        source: flexi_logger::FlexiLoggerError,
    },
    /// The threads can't be started.
    #[snafu(display("cannot start threads: {source}"))]
    Runtime {
        /// Cause.
        source: io::Error,
    },
    /// Signals can't be received.
    #[snafu(display("cannot receive signals: {source}"))]
    Signal {
        /// Cause.
        source: io::Error,
    },
    /// The node doesn't start.
    #[snafu(display("{source}"))]
    Node {
        /// Cause.
        source: vg_entry::StartError,
    },
    /// Some work did not end within the drain time.
    #[snafu(display("stopped before all work was finished and handed over: raise `drain`"))]
    Unfinished,
}

impl DaemonError {
    /// Returns the exit status.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            DaemonError::Settings { .. } | DaemonError::Times { .. } => {
                ExitCode::from(super::usage())
            }
            _ => ExitCode::FAILURE,
        }
    }
}
