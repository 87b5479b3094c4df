//! Refusals and failures of a caller's request.

use http::header::CONTENT_TYPE;
use serde::Deserialize;
use vg_base::prelude::*;
use vg_net::Reply;

use crate::Error;

/// The body of a refusal, as `application/problem+json`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct Problem {
    code: SmolStr,
    title: String,
    detail: String,
    outcome: Option<Outcome>,
    retry_after_ms: Option<u64>,
}

/// Turns the system's refusal into an error that says what is proved; `None`:
/// the answer is an endpoint's own, whatever its status.
pub(super) fn refusal(reply: &Reply, key: Option<&str>) -> Option<Error> {
    let kind = reply.headers.get(CONTENT_TYPE)?;
    if kind != "application/problem+json" {
        return None;
    }
    let problem: Problem = serde_json::from_slice(&reply.body).ok()?;
    let outcome = problem.outcome?;
    let text = [&problem.detail, &problem.title].into_iter().find(|text| !text.is_empty());
    let text = text.map_or("the answer does not say why", String::as_str);
    let code = if problem.code.is_empty() { String::new() } else { format!(" {}", problem.code) };
    let status = reply.status.as_u16();
    let advice = match (outcome, problem.retry_after_ms) {
        (Outcome::NotRun, Some(wait)) => format!("it is safe to try again in {wait} ms"),
        (Outcome::NotRun, None) => "mend what is said, then it is safe to try again".to_owned(),
        _ => unknown_advice(key),
    };
    Some(Error::failed(format!("{}:{code} ({status}): {text}\n{advice}", words(outcome))))
}

/// Turns a failed exchange into an error that says what is proved.
pub(super) fn failure(error: &vg_net::Error, key: Option<&str>) -> Error {
    if error.is_not_sent() {
        return Error::failed(format!("not run: {error}\nit is safe to try again"));
    }
    Error::failed(format!("unknown: {error}\n{}", unknown_advice(key)))
}

fn words(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
    }
}

fn unknown_advice(key: Option<&str>) -> String {
    match key {
        Some(key) => format!(
            "it may have run; ask again with the same request and --idempotency-key {key}, which \
             can't make it run twice"
        ),
        None => "it may have run".to_owned(),
    }
}
