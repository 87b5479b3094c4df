//! Refusals and failures of a caller's request.

use serde::Deserialize;
use vg_base::prelude::*;
use vg_net::Reply;

use crate::Error;
use crate::output::Printable;

/// Header that says how a request ended.
const OUTCOME: &str = "vg-outcome";

/// The body of a refusal, as `application/problem+json`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
struct Problem {
    code: SmolStr,
    title: String,
    detail: String,
    retry_after_ms: Option<u64>,
}

/// Turns an answer that is no success into an error that says what is proved;
/// `None`: it is an endpoint's own whole answer.
///
/// The system marks every answer with its outcome, since an endpoint may send a
/// problem document, too. An answer without the mark proves nothing: whatever
/// stands before the entry hosts may have made it up after the request ran.
pub(super) fn refusal(reply: &Reply, key: Option<&str>) -> Option<Error> {
    let outcome = marked(reply).unwrap_or(Outcome::Unknown);
    if outcome == Outcome::Answered {
        return None;
    }
    let problem: Problem = serde_json::from_slice(&reply.body).unwrap_or_default();
    let text = [&problem.detail, &problem.title].into_iter().find(|text| !text.is_empty());
    let text = text.map_or("the answer does not say why", String::as_str);
    let text = Printable(text);
    let code = if problem.code.is_empty() {
        String::new()
    } else {
        format!(" {}", Printable(&problem.code))
    };
    let status = reply.status.as_u16();
    let advice = match (outcome, problem.retry_after_ms) {
        (Outcome::NotRun, Some(wait)) => format!("it is safe to try again in {wait} ms"),
        (Outcome::NotRun, None) => "mend what is said, then it is safe to try again".to_owned(),
        _ => unknown_advice(key),
    };
    Some(Error::failed(format!("{}:{code} ({status}): {text}\n{advice}", words(outcome))))
}

fn marked(reply: &Reply) -> Option<Outcome> {
    reply.headers.get(OUTCOME)?.to_str().ok()?.parse().ok()
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
            "it may have run; ask again soon with the same request and --idempotency-key {key}, \
             which doesn't run it twice as long as its receipt is kept"
        ),
        None => "it may have run".to_owned(),
    }
}
