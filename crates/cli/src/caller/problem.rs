//! Error messages for requests that were refused or failed.

use serde::Deserialize;
use vg_base::prelude::*;
use vg_net::Reply;

use crate::Error;
use crate::output::Printable;

/// Header with the outcome of a request: `answered`, `not-run` or `unknown`.
const OUTCOME_HEADER: &str = "vg-outcome";

/// The body of a refusal, in the format `application/problem+json`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct Problem {
    code: SmolStr,
    title: String,
    detail: String,
    retry_after_ms: Option<u64>,
}

/// Turns an answer whose status is not a success into an error that says whether
/// the request ran. Returns `None` if the answer is the endpoint's own.
///
/// Entry hosts set the outcome header on every answer, because an endpoint may
/// send a problem document, too. Without the header the outcome is unknown: a proxy
/// in front of the entry hosts may have made the answer after the request ran.
pub(super) fn outcome_error(reply: &Reply, idempotency_key: Option<&str>) -> Option<Error> {
    let outcome = outcome_header(reply).unwrap_or(Outcome::Unknown);
    if outcome == Outcome::Answered {
        return None;
    }
    let problem: Problem = serde_json::from_slice(&reply.body).unwrap_or_default();
    let text = [&problem.detail, &problem.title].into_iter().find(|text| !text.is_empty());
    let text = text.map_or("the answer gives no reason", String::as_str);
    let text = Printable(text);
    let code = if problem.code.is_empty() {
        String::new()
    } else {
        format!(" {}", Printable(&problem.code))
    };
    let status = reply.status.as_u16();
    let advice = match (outcome, problem.retry_after_ms) {
        (Outcome::NotRun, Some(wait)) => format!("it is safe to try again in {wait} ms"),
        (Outcome::NotRun, None) => "fix the problem, then it is safe to try again".to_owned(),
        _ => unknown_advice(idempotency_key),
    };
    Some(Error::failed(format!("{}:{code} ({status}): {text}\n{advice}", outcome_text(outcome))))
}

fn outcome_header(reply: &Reply) -> Option<Outcome> {
    reply.headers.get(OUTCOME_HEADER)?.to_str().ok()?.parse().ok()
}

/// Turns a failed exchange into an error that says whether the request ran.
pub(super) fn transport_error(error: &vg_net::Error, idempotency_key: Option<&str>) -> Error {
    if error.is_not_sent() {
        return Error::failed(format!("not run: {error}\nit is safe to try again"));
    }
    Error::failed(format!("unknown: {error}\n{}", unknown_advice(idempotency_key)))
}

/// Returns the outcome as words for an error message; the `Display` of [`Outcome`] gives the
/// value of the header, such as `not-run`. No message contains `answered`, because
/// [`outcome_error`] returns no error for this outcome.
fn outcome_text(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
    }
}

fn unknown_advice(idempotency_key: Option<&str>) -> String {
    match idempotency_key {
        Some(key) => format!(
            "the request may have run; repeat the same request soon with \
             --idempotency-key {key}: it does not run twice as long as its receipt is kept"
        ),
        None => "the request may have run".to_owned(),
    }
}
