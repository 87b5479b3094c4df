//! Request handlers of an endpoint: faults, counters, and the execution of requests.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::sleep;
use vg_base::prelude::*;
use vg_net::Body;

use crate::endpoint::body::BodyFields;
use crate::endpoint::slots::SlotGuard;
use crate::endpoint::state::{EndpointState, Phase};
use crate::endpoint::streams::{oversized_response, trickled_response};
use crate::endpoint::{EndpointFaultsRequest, EndpointMode};
use crate::headers;
use crate::runs::{RunGuard, RunLabel};
use crate::web::{Context, Exchange, Problem, Reply, aborted_response, json, json_with_status};

/// Team of a request without a team header.
const NO_TEAM: &str = "none";

/// Handles `PUT /vg-stand-in/faults`.
pub(crate) async fn set_faults(mut exchange: Exchange<EndpointState>) -> Reply {
    let request: EndpointFaultsRequest = exchange.read_json().await?;
    exchange.context.faults.apply(request.clone());
    json(&request)
}

/// Handles `GET /vg-stand-in/counts`.
pub(crate) async fn counts(exchange: Exchange<EndpointState>) -> Reply {
    let counts = *exchange.context.counts();
    json(&counts)
}

/// Handles any other request: a health probe if it has no request id, otherwise a
/// request that is executed in a slot.
pub(crate) async fn serve(mut exchange: Exchange<EndpointState>) -> Reply {
    let state = exchange.context.clone();
    let (mode, slowness) = state.faults.next();
    let Some(request) = headers::text(&exchange.headers, headers::REQUEST_ID) else {
        return answer_probe(&state, mode).await;
    };
    let request = SmolStr::new(request);
    // The slot is taken before the body is read, because the entry host has counted
    // it as used since before it sent the request.
    let Some(slot) = state.slots.acquire() else {
        state.counts().over_slots += 1;
        return Err(refused(StatusCode::SERVICE_UNAVAILABLE, "no-slot"));
    };
    let body = exchange.read_bytes().await?;
    let run =
        RunRequest::parse(&exchange.headers, request, &body, state.settings.service_time, slowness);
    if run.time_remaining().is_some_and(|remaining| remaining.is_zero()) {
        state.counts().late += 1;
        return Err(refused(StatusCode::GATEWAY_TIMEOUT, "deadline-passed"));
    }
    execute(state, run, mode, body, slot).await
}

fn refused(status: StatusCode, code: &'static str) -> Problem {
    Problem::new(status, code, "the request was not run")
}

/// Answers a health probe with the name of the host, unless the mode is a fault.
async fn answer_probe(state: &EndpointState, mode: EndpointMode) -> Reply {
    state.counts().probes += 1;
    match mode {
        EndpointMode::Hang => Ok(hang_until_stop(state).await),
        EndpointMode::Fail => failed_response(),
        _ => json(&state.settings.id),
    }
}

/// Parameters of the run that a request asks for.
struct RunRequest {
    label: RunLabel,
    run_time: Duration,
    deadline: Option<SystemTime>,
}

impl RunRequest {
    fn parse(
        headers: &HeaderMap,
        request: SmolStr,
        body: &[u8],
        service_time: Duration,
        slowness: u32,
    ) -> RunRequest {
        let body_fields = BodyFields::parse(body);
        let key = headers::text(headers, headers::IDEMPOTENCY_KEY).map(SmolStr::new);
        let team = SmolStr::new(headers::text(headers, headers::TEAM).unwrap_or(NO_TEAM));
        let run_ms = headers::number(headers, headers::RUN_MS).or(body_fields.run_ms);
        let run_time = run_ms.map_or(service_time, Duration::from_millis);
        let deadline = headers::number(headers, headers::DEADLINE).map(Duration::from_millis);
        RunRequest {
            label: RunLabel { request, key: key.or(body_fields.id), team },
            run_time: run_time.saturating_mul(slowness),
            deadline: deadline.and_then(|since| SystemTime::UNIX_EPOCH.checked_add(since)),
        }
    }

    /// Returns the time until the deadline (zero if it has passed), or `None` without
    /// a deadline.
    fn time_remaining(&self) -> Option<Duration> {
        let now = SystemTime::now();
        self.deadline.map(|deadline| deadline.duration_since(now).unwrap_or_default())
    }
}

/// An active run, which occupies a slot.
struct ActiveRun {
    // Fields are dropped in this order: the end of the run is recorded before its
    // slot becomes free.
    _run: RunGuard,
    _slot: SlotGuard,
}

/// The way in which a run ended.
enum RunEnd {
    /// The run time elapsed.
    Completed(ActiveRun),
    /// The deadline passed before the run time elapsed.
    Overdue,
    /// The endpoint was killed, or was stopped while the run was hanging.
    Killed,
}

/// Executes a request in its slot and returns the response. The run is a separate
/// Tokio task, so that it continues if the caller disconnects.
async fn execute(
    state: Context<EndpointState>,
    run: RunRequest,
    mode: EndpointMode,
    body: Bytes,
    slot: SlotGuard,
) -> Reply {
    state.counts().started += 1;
    let guard = state.log.start(run.label.clone(), &state.settings.id);
    let active = ActiveRun { _run: guard, _slot: slot };
    if mode == EndpointMode::Fail {
        drop(active);
        return failed_response();
    }
    let request = run.label.request.clone();
    let (sender, receiver) = oneshot::channel();
    let task_state = state.clone();
    tokio::spawn(async move {
        let end = simulate(&task_state, &run, mode, active).await;
        // Sending fails if the caller has disconnected; the result is then not needed.
        let _ = sender.send(end);
    });
    match receiver.await {
        Ok(RunEnd::Completed(active)) => completed_response(&state, &request, mode, &body, active),
        Ok(RunEnd::Overdue) if mode == EndpointMode::Hang => Ok(hang_until_stop(&state).await),
        Ok(RunEnd::Overdue) => {
            json_with_status(StatusCode::GATEWAY_TIMEOUT, &FailureBody::new("overdue"))
        }
        Ok(RunEnd::Killed) | Err(_) => Ok(aborted_response(Bytes::new())),
    }
}

/// Sleeps for the run time, until the deadline, or until the endpoint is killed. A
/// run that hangs ignores its run time.
async fn simulate(
    state: &EndpointState,
    run: &RunRequest,
    mode: EndpointMode,
    active: ActiveRun,
) -> RunEnd {
    let run_time = if mode == EndpointMode::Hang { Duration::MAX } else { run.run_time };
    let remaining = run.time_remaining().unwrap_or(Duration::MAX);
    // A run that hangs must not block a planned stop forever.
    let end_phase = if mode == EndpointMode::Hang { Phase::Stopping } else { Phase::Killed };
    tokio::select! {
        () = sleep(run_time.min(remaining)) => {}
        () = state.wait_for_phase(end_phase) => return RunEnd::Killed,
    }
    if run_time <= remaining {
        return RunEnd::Completed(active);
    }
    state.counts().overdue += 1;
    RunEnd::Overdue
}

/// Body of the response to a completed run.
#[derive(Serialize)]
struct CompletedBody<'a> {
    request: &'a str,
    endpoint: &'a HostId,
    runs: usize,
    body: &'a str,
}

/// Body of the response to a run that did not complete.
#[derive(Serialize)]
struct FailureBody {
    code: &'static str,
    outcome: Outcome,
}

impl FailureBody {
    fn new(code: &'static str) -> FailureBody {
        FailureBody { code, outcome: Outcome::Unknown }
    }
}

fn failed_response() -> Reply {
    json_with_status(StatusCode::INTERNAL_SERVER_ERROR, &FailureBody::new("failed"))
}

/// Waits until the endpoint stops, and returns a response that closes the connection.
async fn hang_until_stop(state: &EndpointState) -> Response<Body> {
    state.wait_for_phase(Phase::Stopping).await;
    aborted_response(Bytes::new())
}

/// Returns the response to a completed run, in the form that `mode` asks for.
fn completed_response(
    state: &EndpointState,
    request: &SmolStr,
    mode: EndpointMode,
    body: &[u8],
    active: ActiveRun,
) -> Reply {
    let message = CompletedBody {
        request,
        endpoint: &state.settings.id,
        runs: state.log.runs_of(request),
        body: std::str::from_utf8(body).unwrap_or_default(),
    };
    let body = serde_json::to_vec(&message).map_err(|e| {
        Problem::new(StatusCode::INTERNAL_SERVER_ERROR, "unrepresentable-answer", e)
    })?;
    let mut response = match mode {
        EndpointMode::Cut => aborted_response(Bytes::from(body).slice(..1)),
        EndpointMode::Trickle => trickled_response(body.into(), active),
        EndpointMode::Oversized => oversized_response(),
        EndpointMode::Serve | EndpointMode::Hang | EndpointMode::Fail => {
            Response::new(vg_net::full_body(body))
        }
    };
    let response_headers = response.headers_mut();
    response_headers
        .insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(request) {
        response_headers.insert(headers::REQUEST_ID, value);
    }
    Ok(response)
}
