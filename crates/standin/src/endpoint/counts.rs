//! Numbers of an endpoint.

use serde::{Deserialize, Serialize};

/// What became of the requests so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCounts {
    /// Requests that began to run.
    pub started: u64,
    /// Requests refused because all slots were taken: a broken promise.
    pub over_slots: u64,
    /// Requests refused because they came after their deadline.
    pub late: u64,
    /// Runs stopped at their deadline.
    pub overdue: u64,
    /// Requests without an id, which are answered and not run.
    pub probes: u64,
}
