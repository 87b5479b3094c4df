//! Refusals and unknown outcomes as `application/problem+json` documents (RFC 9457).

use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use vg_base::prelude::*;
use vg_net::Body;

use crate::headers;

/// Returns the header value that tells the outcome of a request.
pub(crate) fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}

/// Media type of problem documents.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// The stable codes of all problems. Callers may rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemCode {
    /// A header or parameter is malformed.
    #[display("malformed-request")]
    MalformedRequest,
    /// The request has no key, and the queue is not open to all.
    #[display("missing-key")]
    MissingKey,
    /// The key is not in force.
    #[display("unknown-key")]
    UnknownKey,
    /// The key's team may not use the queue.
    #[display("not-permitted")]
    NotPermitted,
    /// There is no such queue.
    #[display("unknown-queue")]
    UnknownQueue,
    /// The team has no such job.
    #[display("unknown-job")]
    UnknownJob,
    /// There is no such resource.
    #[display("not-found")]
    NotFound,
    /// The resource does not support the method.
    #[display("method-not-allowed")]
    MethodNotAllowed,
    /// The body is too long.
    #[display("body-too-long")]
    BodyTooLong,
    /// The body ended early.
    #[display("body-cut")]
    BodyCut,
    /// Too many unfinished requests hold the memory for them.
    #[display("overloaded")]
    Overloaded,
    /// The idempotency key was used with another request.
    #[display("key-reused")]
    KeyReused,
    /// A request with the same idempotency key is running now.
    #[display("key-in-use")]
    KeyInUse,
    /// The queue is full.
    #[display("queue-full")]
    QueueFull,
    /// The deadline cannot be met.
    #[display("deadline-unreachable")]
    DeadlineUnreachable,
    /// The team's upper limit is reached.
    #[display("over-limit")]
    OverLimit,
    /// No endpoint can take the work.
    #[display("no-endpoint")]
    NoEndpoint,
    /// The pool's owner is changing or cannot be reached.
    #[display("no-owner")]
    NoOwner,
    /// This entry host cannot prove that its configuration is current.
    #[display("stale-configuration")]
    StaleConfiguration,
    /// This entry host is stopping.
    #[display("stopping")]
    Stopping,
    /// The store cannot record the job now.
    #[display("store-unavailable")]
    StoreUnavailable,
    /// The job can never run on the pool's hosts.
    #[display("cannot-run")]
    CannotRun,
    /// An endpoint accepted the work but did not send a complete answer.
    #[display("endpoint-broke")]
    EndpointBroke,
    /// The deadline passed while the work was running.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The entry host that ran the work was lost.
    #[display("owner-lost")]
    OwnerLost,
    /// An earlier run of this idempotency key cannot be proven.
    #[display("earlier-run-unknown")]
    EarlierRunUnknown,
}

impl ProblemCode {
    /// Returns the HTTP status of the code.
    pub fn status(self) -> StatusCode {
        match self {
            ProblemCode::MalformedRequest | ProblemCode::BodyCut => StatusCode::BAD_REQUEST,
            ProblemCode::MissingKey | ProblemCode::UnknownKey => StatusCode::UNAUTHORIZED,
            ProblemCode::NotPermitted => StatusCode::FORBIDDEN,
            ProblemCode::UnknownQueue | ProblemCode::UnknownJob | ProblemCode::NotFound => {
                StatusCode::NOT_FOUND
            }
            ProblemCode::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            ProblemCode::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            ProblemCode::KeyReused | ProblemCode::CannotRun => StatusCode::UNPROCESSABLE_ENTITY,
            ProblemCode::KeyInUse => StatusCode::CONFLICT,
            ProblemCode::QueueFull | ProblemCode::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            ProblemCode::DeadlineUnreachable
            | ProblemCode::NoEndpoint
            | ProblemCode::NoOwner
            | ProblemCode::StaleConfiguration
            | ProblemCode::Overloaded
            | ProblemCode::Stopping
            | ProblemCode::StoreUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            ProblemCode::EndpointBroke
            | ProblemCode::OwnerLost
            | ProblemCode::EarlierRunUnknown => StatusCode::BAD_GATEWAY,
            ProblemCode::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn title(self) -> &'static str {
        match self {
            ProblemCode::MalformedRequest => "The request is malformed",
            ProblemCode::MissingKey => "A key is needed",
            ProblemCode::UnknownKey => "The key is not in force",
            ProblemCode::NotPermitted => "The team may not use this queue",
            ProblemCode::UnknownQueue => "There is no such queue",
            ProblemCode::UnknownJob => "There is no such job of this team",
            ProblemCode::NotFound => "There is nothing here",
            ProblemCode::MethodNotAllowed => "This path has other methods",
            ProblemCode::BodyTooLong => "The body is too long",
            ProblemCode::BodyCut => "The body ended early",
            ProblemCode::Overloaded => "There are too many unfinished requests",
            ProblemCode::KeyReused => "The idempotency key belongs to another request",
            ProblemCode::KeyInUse => "A request with this idempotency key is running",
            ProblemCode::QueueFull => "The queue is full",
            ProblemCode::DeadlineUnreachable => "The deadline cannot be met",
            ProblemCode::OverLimit => "The team's upper limit is reached",
            ProblemCode::NoEndpoint => "No endpoint can take the work",
            ProblemCode::NoOwner => "The pool's entry host is changing",
            ProblemCode::StaleConfiguration => "The configuration may be out of date here",
            ProblemCode::Stopping => "This entry host is stopping",
            ProblemCode::StoreUnavailable => "The job cannot be made durable now",
            ProblemCode::CannotRun => "No host of the pool could ever hold the job",
            ProblemCode::EndpointBroke => "The endpoint gave no whole answer",
            ProblemCode::DeadlinePassed => "The deadline passed while the work was running",
            ProblemCode::OwnerLost => "The entry host that had the work was lost",
            ProblemCode::EarlierRunUnknown => "An earlier run of this key cannot be proved",
        }
    }
}

/// A refusal or an unknown outcome as it is sent to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The stable code.
    pub code: ProblemCode,
    /// The HTTP status.
    pub status: u16,
    /// Description of the code.
    pub title: SmolStr,
    /// Description of this occurrence.
    pub detail: String,
    /// Whether the work may have run.
    pub outcome: Outcome,
    /// Delay in milliseconds after which a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a refusal: the work has not run and will not run.
    pub fn not_run(code: ProblemCode, detail: impl Into<String>) -> Problem {
        Problem::with(code, detail, Outcome::NotRun)
    }

    /// Creates an unknown outcome: the work may have run.
    pub fn unknown(code: ProblemCode, detail: impl Into<String>) -> Problem {
        Problem::with(code, detail, Outcome::Unknown)
    }

    fn with(code: ProblemCode, detail: impl Into<String>, outcome: Outcome) -> Problem {
        Problem {
            code,
            status: code.status().as_u16(),
            title: SmolStr::new_static(code.title()),
            detail: detail.into(),
            outcome,
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Problem {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Converts the problem to an HTTP response.
    pub fn into_response(self) -> Response<Body> {
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(vg_net::full_body(body));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let fields = response.headers_mut();
        fields.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        fields.insert(headers::OUTCOME, outcome_value(self.outcome));
        if let Some(ms) = self.retry_after_ms {
            // The header has whole seconds. Rounding up never invites a retry too early.
            fields.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000).max(1)));
        }
        response
    }
}
