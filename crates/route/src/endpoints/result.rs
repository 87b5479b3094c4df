//! How a call ended at its endpoint.

use vg_base::prelude::*;

/// How a call ended at its endpoint, as far as its slot and health go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// A whole answer that does not blame the endpoint.
    Answered,
    /// A whole answer that blames the endpoint, such as an internal error.
    Failed,
    /// No connection was made: nothing runs there.
    NotReached,
    /// The call was given up by its sender before a byte was written.
    Unused,
    /// The connection broke or the call timed out after a byte was written:
    /// the call may still run, and keeps its slot until this time.
    Lost {
        /// The call's deadline, after which the endpoint has given it up.
        until: Instant,
    },
}
