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
    /// The name of a host, rack or zone is not valid.
    #[snafu(display("a stand-in cannot be named: {source}"))]
    Id {
        /// Cause.
        source: vg_base::IdError,
    },
    /// The addresses can't be written to the output.
    #[snafu(display("cannot write the addresses: {source}"))]
    Output {
        /// Cause.
        source: std::io::Error,
    },
    /// Stop signals can't be received.
    #[snafu(display("cannot wait for a stop signal: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
}
