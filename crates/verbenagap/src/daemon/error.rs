//! Errors that end the daemon.

use std::io;
use std::process::ExitCode;

use snafu::Snafu;

/// An error that ends the daemon or keeps it from starting.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DaemonError {
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// All problems that were found in the settings.
        source: vg_conf::SettingsError,
    },
    /// The durations in the settings contradict each other.
    #[snafu(display("timing: {source}"))]
    Timing {
        /// The condition that is not met.
        source: vg_peer::TimingError,
    },
    /// The logger cannot be started.
    #[snafu(display("log: {source}"))]
    Log {
        /// The cause.
        source: flexi_logger::FlexiLoggerError,
    },
    /// The threads of the async runtime cannot be started.
    #[snafu(display("cannot start threads: {source}"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
    /// The signal handlers cannot be installed.
    #[snafu(display("cannot receive signals: {source}"))]
    Signal {
        /// The cause.
        source: io::Error,
    },
    /// The node does not start.
    #[snafu(display("{source}"))]
    Node {
        /// The cause.
        source: vg_entry::StartError,
    },
    /// Some work was neither finished nor handed over within the drain timeout.
    #[snafu(display(
        "the drain timeout ended before all work was finished or handed over: raise `drain`"
    ))]
    Unfinished,
}

impl DaemonError {
    /// Returns the exit status: the one for usage errors if the settings are invalid.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            DaemonError::Settings { .. } | DaemonError::Timing { .. } => {
                ExitCode::from(super::usage_exit())
            }
            _ => ExitCode::FAILURE,
        }
    }
}
