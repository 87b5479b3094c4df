//! Errors of measurements.

use std::io;

use snafu::Snafu;

/// Why a measurement gave no report.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The report could not be written.
    #[snafu(display("the report cannot be written: {source}"), context(false))]
    Output {
        /// What the output said.
        source: io::Error,
    },
    /// An argument has no meaning here.
    #[snafu(display("{what}"))]
    Argument {
        /// What is wrong, and what is accepted.
        what: String,
    },
    /// A site on loopback does not start or work.
    #[snafu(display("the site: {reason}"))]
    Site {
        /// Cause.
        reason: String,
    },
}
