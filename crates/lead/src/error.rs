//! Errors that keep a host from starting.

use snafu::Snafu;

/// Why a host cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// Listening on the address for peers failed.
    #[snafu(display("{source}"))]
    Listen {
        /// Cause.
        source: vg_net::Error,
    },
    /// Registering the metrics failed.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
}
