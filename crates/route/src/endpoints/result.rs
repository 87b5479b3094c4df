//! Results of calls at endpoints.

use vg_base::prelude::*;

/// Result of a call at its endpoint, which decides on the slot and the health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The endpoint sent a complete answer that is not a failure of the endpoint.
    Answered,
    /// The endpoint sent a complete answer that is a failure of the endpoint, such as
    /// an internal error.
    Failed,
    /// No connection could be made, so the call does not run.
    NotReached,
    /// The call was cancelled before any byte was written.
    Unused,
    /// The connection broke or the call timed out after bytes were written. The call
    /// may still run, so it keeps its slot until this time.
    Lost {
        /// The deadline of the call, at which the endpoint cancels it.
        until: Instant,
    },
}
