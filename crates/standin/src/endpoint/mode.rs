//! The way in which an endpoint treats a request.

use serde::{Deserialize, Serialize};

/// The way in which an endpoint treats a request: normally, or with a fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointMode {
    /// The request runs and is answered.
    #[default]
    Serve,
    /// The request runs until its deadline and is never answered.
    Hang,
    /// The request fails immediately with status 500.
    Fail,
    /// The request runs, and the connection is closed within the response.
    Cut,
    /// The request runs, and the response is sent byte by byte.
    Trickle,
    /// The request runs, and the response is longer than clients accept.
    Oversized,
}
