//! Errors of a host.

use snafu::Snafu;

/// Why a host does not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address for peers can't be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// Cause.
        source: vg_net::Error,
    },
    /// The metrics can't be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
}
