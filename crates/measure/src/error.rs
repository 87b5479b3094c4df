//! Errors of measurements.

use std::io;

use snafu::Snafu;

/// An error that ends a measurement without a complete report.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The report cannot be written.
    #[snafu(display("the report cannot be written: {source}"), context(false))]
    Output {
        /// The cause.
        source: io::Error,
    },
    /// An argument is invalid, or a message of the simulation cannot be encoded.
    #[snafu(display("{what}"))]
    Argument {
        /// The problem.
        what: String,
    },
    /// A site on loopback fails to start or to do what the measurement needs.
    #[snafu(display("the site: {reason}"))]
    Site {
        /// The cause.
        reason: String,
    },
}
