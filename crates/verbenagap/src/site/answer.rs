//! The result of a request, as its caller sees it.

use bytes::Bytes;
use http::StatusCode;
use vg_base::prelude::*;
use vg_entry::Problem;

/// The result of one request, as its caller sees it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The outcome that the response states. `Unknown` if no response came or the response
    /// states no outcome, and `NotRun` if the request was not sent.
    pub outcome: Outcome,
    /// The HTTP status, if a response came.
    pub status: Option<StatusCode>,
    /// The problem document, if an entry host (not an endpoint) sent one.
    pub problem: Option<Problem>,
    /// The id of the request, if the response has one.
    pub request_id: Option<RequestId>,
    /// Whether this is the stored answer to an earlier request with the same idempotency key.
    pub replayed: bool,
    /// The body of the response.
    pub body: Bytes,
    /// Time from sending the request to the end of the response.
    pub elapsed: Duration,
}

impl Answer {
    /// Returns the result of a request to which no response came.
    pub(super) fn without_response(outcome: Outcome, elapsed: Duration) -> Answer {
        Answer {
            outcome,
            status: None,
            problem: None,
            request_id: None,
            replayed: false,
            body: Bytes::new(),
            elapsed,
        }
    }
}
