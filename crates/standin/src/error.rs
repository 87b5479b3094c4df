//! Errors of the stand-ins.

use snafu::Snafu;

/// Why a stand-in can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address can't be served.
    #[snafu(display("a stand-in cannot start: {source}"))]
    Start {
        /// Cause.
        source: vg_net::Error,
    },
    /// Stop signals can't be received.
    #[snafu(display("cannot wait for a stop signal: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
}
