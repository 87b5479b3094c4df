//! Errors of starting and running the stand-ins.

use snafu::Snafu;

/// The reason why a stand-in cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The server cannot listen on the address.
    #[snafu(display("cannot start the server of a stand-in: {source}"))]
    Start {
        /// Cause.
        source: vg_net::Error,
    },
    /// The generated name of a host, rack or availability zone is not valid.
    #[snafu(display("the name of a host, rack or availability zone is not valid: {source}"))]
    Id {
        /// Cause.
        source: vg_base::IdError,
    },
    /// The addresses of the stand-ins cannot be written to standard output.
    #[snafu(display("cannot write the addresses of the stand-ins: {source}"))]
    Output {
        /// Cause.
        source: std::io::Error,
    },
    /// Stop signals cannot be received.
    #[snafu(display("cannot receive stop signals: {source}"))]
    Signal {
        /// Cause.
        source: std::io::Error,
    },
}
