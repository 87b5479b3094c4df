//! Refusals and unknown outcomes as `application/problem+json` (RFC 9457).

use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use vg_base::prelude::*;
use vg_net::Body;

use crate::headers;

/// Returns the value of the header that tells how a request ended.
pub(crate) fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}

/// Media type of problem documents.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// The stable codes of all refusals. Callers may rely on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemCode {
    /// A header or parameter is malformed.
    #[display("malformed-request")]
    MalformedRequest,
    /// No key came, and the queue is not open to all.
    #[display("missing-key")]
    MissingKey,
    /// The key is not in force.
    #[display("unknown-key")]
    UnknownKey,
    /// The key's team may not use the queue.
    #[display("not-permitted")]
    NotPermitted,
    /// No such queue.
    #[display("unknown-queue")]
    UnknownQueue,
    /// No such job of this team.
    #[display("unknown-job")]
    UnknownJob,
    /// No such resource.
    #[display("not-found")]
    NotFound,
    /// The resource has other methods.
    #[display("method-not-allowed")]
    MethodNotAllowed,
    /// The body is too long.
    #[display("body-too-long")]
    BodyTooLong,
    /// The body ended early.
    #[display("body-cut")]
    BodyCut,
    /// The idempotency key was used with another request.
    #[display("key-reused")]
    KeyReused,
    /// The same idempotency key is running now.
    #[display("key-in-use")]
    KeyInUse,
    /// The queue is full.
    #[display("queue-full")]
    QueueFull,
    /// The deadline can't be met.
    #[display("deadline-unreachable")]
    DeadlineUnreachable,
    /// The team's upper limit is reached.
    #[display("over-limit")]
    OverLimit,
    /// No endpoint can take the work.
    #[display("no-endpoint")]
    NoEndpoint,
    /// The pool's owner can't be reached or is changing.
    #[display("no-owner")]
    NoOwner,
    /// This entry host can't show that its configuration is current.
    #[display("stale-configuration")]
    StaleConfiguration,
    /// This entry host is stopping.
    #[display("stopping")]
    Stopping,
    /// The store can't take the job now.
    #[display("store-unavailable")]
    StoreUnavailable,
    /// The job can never run on the pool's hosts.
    #[display("cannot-run")]
    CannotRun,
    /// An endpoint took the work and gave no whole answer.
    #[display("endpoint-broke")]
    EndpointBroke,
    /// The deadline passed while the work was running.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The entry host that ran the work was lost.
    #[display("owner-lost")]
    OwnerLost,
    /// An earlier run of this idempotency key can't be proved.
    #[display("earlier-run-unknown")]
    EarlierRunUnknown,
}

impl ProblemCode {
    /// Returns the HTTP status that goes with the code.
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

/// A refusal or an unknown outcome, as the caller is told it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable code.
    pub code: ProblemCode,
    /// HTTP status.
    pub status: u16,
    /// The code in words.
    pub title: SmolStr,
    /// This case in words.
    pub detail: String,
    /// Whether the work may have run.
    pub outcome: Outcome,
    /// When trying again may help, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Makes a refusal: the work has not run and won't.
    pub fn not_run(code: ProblemCode, detail: impl Into<String>) -> Problem {
        Problem::with(code, detail, Outcome::NotRun)
    }

    /// Makes an unknown outcome: the work may have run.
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

    /// Says when trying again may help.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Problem {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Makes the HTTP response.
    pub fn into_response(self) -> Response<Body> {
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(vg_net::full_body(body));
        *response.status_mut() =
            StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let fields = response.headers_mut();
        fields.insert(header::CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        fields.insert(headers::OUTCOME, outcome_value(self.outcome));
        if let Some(ms) = self.retry_after_ms {
            // The header has whole seconds; rounding up never invites too early.
            fields.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000).max(1)));
        }
        response
    }
}
