//! What a caller was told.

use bytes::Bytes;
use http::StatusCode;
use vg_base::prelude::*;
use vg_entry::Problem;

/// What a caller was told of one request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// How it ended: as the problem says, or unknown if no answer came.
    pub outcome: Outcome,
    /// HTTP status, if any came.
    pub status: Option<StatusCode>,
    /// The problem, if it was one of the entry hosts'.
    pub problem: Option<Problem>,
    /// Id of the request, if it was told.
    pub request: Option<RequestId>,
    /// Whether it is an earlier answer to the same idempotency key.
    pub replayed: bool,
    /// The body.
    pub body: Bytes,
    /// Time from sending to the end of the answer.
    pub took: Duration,
}

impl Answer {
    /// Makes the answer of a caller that was told nothing.
    pub(super) fn none(outcome: Outcome, took: Duration) -> Answer {
        Answer {
            outcome,
            status: None,
            problem: None,
            request: None,
            replayed: false,
            body: Bytes::new(),
            took,
        }
    }
}
