//! Handlers of an endpoint.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::sleep;
use vg_base::prelude::*;
use vg_net::Body;

use crate::endpoint::answer::{oversized, trickle};
use crate::endpoint::slots::SlotGuard;
use crate::endpoint::state::{EndpointState, Phase};
use crate::endpoint::work::Work;
use crate::endpoint::{EndpointFaultsRequest, Mode};
use crate::headers;
use crate::runs::{RunGuard, RunLabel};
use crate::web::{Context, Exchange, Problem, Reply, json, json_as, torn};

/// Team of a request that names none.
const NO_TEAM: &str = "none";

/// `PUT /vg-stand-in/faults`
pub(crate) async fn set_faults(mut exchange: Exchange<EndpointState>) -> Reply {
    let request: EndpointFaultsRequest = exchange.json().await?;
    exchange.context.faults.apply(request.clone());
    json(&request)
}

/// `GET /vg-stand-in/counts`
pub(crate) async fn counts(exchange: Exchange<EndpointState>) -> Reply {
    let counts = *exchange.context.counts();
    json(&counts)
}

/// Any other request.
pub(crate) async fn request(mut exchange: Exchange<EndpointState>) -> Reply {
    let state = exchange.context.clone();
    let (mode, slowness) = state.faults.next();
    let Some(request) = headers::text(&exchange.headers, headers::REQUEST_ID) else {
        return probe(&state, mode).await;
    };
    let request = SmolStr::new(request);
    // The slot counts from here on: the sender has taken it before it wrote.
    let Some(slot) = state.slots.take() else {
        state.counts().over_slots += 1;
        return Err(refused(StatusCode::SERVICE_UNAVAILABLE, "no-slot"));
    };
    let body = exchange.bytes().await?;
    let order = Order::read(&exchange.headers, request, &body, state.settings.service, slowness);
    if order.time_left().is_some_and(|left| left.is_zero()) {
        state.counts().late += 1;
        return Err(refused(StatusCode::GATEWAY_TIMEOUT, "deadline-passed"));
    }
    run(state, order, mode, body, slot).await
}

fn refused(status: StatusCode, code: &'static str) -> Problem {
    Problem::new(status, code, "the request was not run")
}

async fn probe(state: &EndpointState, mode: Mode) -> Reply {
    state.counts().probes += 1;
    match mode {
        Mode::Hang => Ok(hang(state).await),
        Mode::Fail => failed(),
        _ => json(&state.settings.id),
    }
}

/// What a request asks for.
struct Order {
    label: RunLabel,
    time: Duration,
    deadline: Option<SystemTime>,
}

impl Order {
    fn read(
        fields: &HeaderMap,
        request: SmolStr,
        body: &[u8],
        service: Duration,
        slowness: u32,
    ) -> Order {
        let work = Work::read(body);
        let key = headers::text(fields, headers::IDEMPOTENCY_KEY).map(SmolStr::new);
        let team = SmolStr::new(headers::text(fields, headers::TEAM).unwrap_or(NO_TEAM));
        let run_ms = headers::number(fields, headers::RUN_MS).or(work.run_ms);
        let time = run_ms.map_or(service, Duration::from_millis);
        let deadline = headers::number(fields, headers::DEADLINE).map(Duration::from_millis);
        Order {
            label: RunLabel { request, key: key.or(work.id), team },
            time: time.saturating_mul(slowness),
            deadline: deadline.and_then(|since| SystemTime::UNIX_EPOCH.checked_add(since)),
        }
    }

    /// Returns the time until the deadline, if there is one.
    fn time_left(&self) -> Option<Duration> {
        let now = SystemTime::now();
        self.deadline.map(|deadline| deadline.duration_since(now).unwrap_or_default())
    }
}

/// A run that holds its slot.
struct Running {
    // Dropped in this order: the run ends before its slot is free.
    _run: RunGuard,
    _slot: SlotGuard,
}

/// How a run ended.
enum End {
    /// Its time was over.
    Done(Running),
    /// Its deadline came first.
    Overdue,
    /// The endpoint died.
    Killed,
}

async fn run(
    state: Context<EndpointState>,
    order: Order,
    mode: Mode,
    body: Bytes,
    slot: SlotGuard,
) -> Reply {
    state.counts().started += 1;
    let run = state.log.start(order.label.clone(), &state.settings.id);
    let running = Running { _run: run, _slot: slot };
    if mode == Mode::Fail {
        drop(running);
        return failed();
    }
    let request = order.label.request.clone();
    let (sender, ended) = oneshot::channel();
    let worker = state.clone();
    tokio::spawn(async move {
        let end = work(&worker, &order, mode, running).await;
        // Without a caller nobody wants to know.
        let _ = sender.send(end);
    });
    match ended.await {
        Ok(End::Done(running)) => answer(&state, &request, mode, &body, running),
        Ok(End::Overdue) if mode == Mode::Hang => Ok(hang(&state).await),
        Ok(End::Overdue) => json_as(StatusCode::GATEWAY_TIMEOUT, &Ended::new("overdue")),
        Ok(End::Killed) | Err(_) => Ok(torn(Bytes::new())),
    }
}

/// Sleeps for the time of the run, whether or not its caller waits.
async fn work(state: &EndpointState, order: &Order, mode: Mode, running: Running) -> End {
    let time = if mode == Mode::Hang { Duration::MAX } else { order.time };
    let left = order.time_left().unwrap_or(Duration::MAX);
    // A run that hangs must not hold up a planned stop for ever.
    let last = if mode == Mode::Hang { Phase::Stopping } else { Phase::Killed };
    tokio::select! {
        () = sleep(time.min(left)) => {}
        () = state.reached(last) => return End::Killed,
    }
    if time <= left {
        return End::Done(running);
    }
    state.counts().overdue += 1;
    End::Overdue
}

/// Body of an answer to a whole run.
#[derive(Serialize)]
struct Answer<'a> {
    request: &'a str,
    endpoint: &'a HostId,
    runs: usize,
    body: &'a str,
}

/// Body of an answer to a run that did not end well.
#[derive(Serialize)]
struct Ended {
    code: &'static str,
    outcome: Outcome,
}

impl Ended {
    fn new(code: &'static str) -> Ended {
        Ended { code, outcome: Outcome::Unknown }
    }
}

fn failed() -> Reply {
    json_as(StatusCode::INTERNAL_SERVER_ERROR, &Ended::new("failed"))
}

async fn hang(state: &EndpointState) -> Response<Body> {
    state.reached(Phase::Stopping).await;
    torn(Bytes::new())
}

fn answer(
    state: &EndpointState,
    request: &SmolStr,
    mode: Mode,
    body: &[u8],
    running: Running,
) -> Reply {
    let answer = Answer {
        request,
        endpoint: &state.settings.id,
        runs: state.log.runs_of(request),
        body: std::str::from_utf8(body).unwrap_or_default(),
    };
    let whole = serde_json::to_vec(&answer).map_err(|e| {
        Problem::new(StatusCode::INTERNAL_SERVER_ERROR, "unrepresentable-answer", e)
    })?;
    let mut response = match mode {
        Mode::Cut => torn(Bytes::from(whole).slice(..1)),
        Mode::Trickle => trickle(whole.into(), running),
        Mode::Oversized => oversized(),
        Mode::Serve | Mode::Hang | Mode::Fail => Response::new(vg_net::full_body(whole)),
    };
    let fields = response.headers_mut();
    fields.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(request) {
        fields.insert(headers::REQUEST_ID, value);
    }
    Ok(response)
}
