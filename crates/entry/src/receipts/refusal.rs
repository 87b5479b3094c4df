//! Answers to requests whose idempotency key may not run.

use http::{HeaderName, HeaderValue, Response, StatusCode};
use vg_base::prelude::*;
use vg_net::Body;
use vg_route::{Answer, BeginOutcome};

use crate::headers;
use crate::problem::{Problem, ProblemCode};

/// Delay after which a caller should retry a key that is running.
const RUNNING_RETRY: Duration = Duration::from_millis(500);

/// Returns the problem for a request whose key may not run.
pub(super) fn refusal(begin: &BeginOutcome) -> Problem {
    match begin {
        BeginOutcome::RequestMismatch => {
            let detail = "the idempotency key was used with another body or content type";
            Problem::not_run(ProblemCode::KeyReused, detail)
        }
        BeginOutcome::InProgress => {
            let detail = "a request with this idempotency key is running now";
            Problem::unknown(ProblemCode::KeyInUse, detail).retry_after(RUNNING_RETRY)
        }
        BeginOutcome::NoCapacity { retry_after } => {
            let detail = "there is no room for the receipt of the idempotency key";
            Problem::not_run(ProblemCode::QueueFull, detail).retry_after(*retry_after)
        }
        BeginOutcome::DuplicateAttempt => {
            // The attempt may be running. If the answer said *not run*, the ingress would
            // discard its copy of the receipt.
            let detail = "this attempt came before; this copy of it tells nothing of its end";
            Problem::unknown(ProblemCode::KeyInUse, detail).retry_after(RUNNING_RETRY)
        }
        BeginOutcome::DeadlinePassed => {
            let detail = "the deadline passed before the call came to its entry host";
            Problem::not_run(ProblemCode::DeadlineUnreachable, detail)
        }
        BeginOutcome::Run(_) | BeginOutcome::Replay(_) | BeginOutcome::Unknown => {
            let detail = "a request with this idempotency key may have run before";
            Problem::unknown(ProblemCode::EarlierRunUnknown, detail)
        }
    }
}

/// Creates the response from a stored answer.
pub(super) fn replay(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(vg_net::full_body(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for each in &answer.headers {
        let name = HeaderName::from_bytes(each.name.as_bytes());
        let value = HeaderValue::from_bytes(&each.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response.headers_mut().insert(headers::REPLAYED, HeaderValue::from_static("true"));
    response
}
