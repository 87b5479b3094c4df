//! Request counters of an endpoint.

use serde::{Deserialize, Serialize};

/// Numbers of the requests so far, by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCounts {
    /// Requests that were started.
    pub started: u64,
    /// Requests refused because all slots were in use. Each one violates the
    /// guarantee that entry hosts never send an endpoint more requests than it has
    /// slots.
    pub over_slots: u64,
    /// Requests refused because they arrived after their deadline.
    pub late: u64,
    /// Runs stopped at their deadline.
    pub overdue: u64,
    /// Requests without a request id, which are answered as health probes and not run.
    pub probes: u64,
}
