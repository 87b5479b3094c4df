//! How an endpoint treats a request.

use serde::{Deserialize, Serialize};

/// What becomes of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointMode {
    /// It runs and is answered.
    #[default]
    Serve,
    /// It runs until its deadline and is never answered.
    Hang,
    /// It fails at once with status 500.
    Fail,
    /// It runs, and the connection is torn within the answer.
    Cut,
    /// It runs, and the answer comes byte by byte.
    Trickle,
    /// It runs, and the answer is far too long.
    Oversized,
}
