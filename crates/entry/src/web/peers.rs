//! Handlers for messages from other entry hosts.

use bytes::Bytes;
use gotham::handler::HandlerResult;
use gotham::state::{FromState, State};
use http::{Response, header};
use serde::Serialize;
use serde::de::DeserializeOwned;
use vg_base::prelude::*;
use vg_limit::PermitRequest;
use vg_net::Body;
use vg_peer::Heartbeat;

use crate::control;
use crate::dispatch;
use crate::forward;
use crate::jobs::{self, JobReply, JobRequest, PermitsHandover};
use crate::metrics::Direction;
use crate::node::Node;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};
use crate::receipts::{Mirror, MirrorOutcome};
use crate::web::context::{node, take_request};
use crate::web::paths::{PoolPath, QueuePath};

/// Size limit for messages between entry hosts, except forwarded calls.
const MESSAGE_MAX_BYTES: usize = 1024 * 1024;
/// Time limit for reading such a message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);

/// `POST /peer/queues/{queue}/calls`
pub(crate) async fn post_call<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let path = QueuePath::take_from(&mut state);
    let (headers, body) = take_request(&mut state);
    let result = match forward::receive(&node, &path.queue, &headers, body).await {
        Ok(call) => dispatch::run(&node, call).await,
        Err(problem) => Err(problem),
    };
    Ok((state, result.unwrap_or_else(forward::own_problem)))
}

/// `POST /peer/heartbeat`
pub(crate) async fn post_heartbeat<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let response = match read_counted::<P, Heartbeat>(&mut state, &node, "heartbeat").await {
        Ok(heartbeat) => {
            control::receive(&node, &heartbeat).await;
            let stamp = node.events.clock().stamp();
            let now = node.clock.now();
            let reply = node.membership.lock().heartbeat(now, &heartbeat.from, stamp);
            counted_reply(&node, "heartbeat", &reply)
        }
        Err(problem) => problem.into_response(),
    };
    Ok((state, response))
}

/// `POST /peer/units`
pub(crate) async fn post_permits<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let response = match read_counted::<P, PermitRequest>(&mut state, &node, "units").await {
        Ok(request) => {
            let reply = node.membership.lock().answer_permits(&request);
            counted_reply(&node, "units", &reply)
        }
        Err(problem) => problem.into_response(),
    };
    Ok((state, response))
}

/// `POST /peer/jobs`
pub(crate) async fn post_job<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let result = match read::<JobRequest>(&mut state).await {
        Ok(request) => match node.membership.check_owner(&request.pool, request.epoch) {
            Ok(()) => jobs::serve_as_owner(&node, request).await,
            Err(problem) => Err(problem),
        },
        Err(problem) => Err(problem),
    };
    Ok((state, reply_with(&JobReply::from(result))))
}

/// `POST /peer/jobs/units`
pub(crate) async fn post_job_permits<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let response = match read::<PermitsHandover>(&mut state).await {
        Ok(handover) => reply_with(&jobs::hand_over_permits(&node, &handover)),
        Err(problem) => problem.into_response(),
    };
    Ok((state, response))
}

/// `POST /peer/lists`
pub(crate) async fn post_lists<P: Platform>(state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let value = node.config.stored().and_then(|stored| stored.encode().ok());
    let response = match value {
        Some(value) => counted_reply(&node, "peer-lists", &value),
        None => not_found("no lists are in force here").into_response(),
    };
    Ok((state, response))
}

/// `POST /peer/pools/{pool}/handover`
pub(crate) async fn post_handover<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let path = PoolPath::take_from(&mut state);
    let response = match path.pool.parse::<PoolId>() {
        Ok(pool) => reply_with(&control::handover(&node, &pool)),
        Err(e) => not_found(&e.to_string()).into_response(),
    };
    Ok((state, response))
}

/// `POST /peer/pools/{pool}/busy`: replies with the slots that calls of this earlier owner
/// still use.
pub(crate) async fn post_busy<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let path = PoolPath::take_from(&mut state);
    let response = match path.pool.parse::<PoolId>() {
        Ok(pool) => reply_with(&control::busy_slots(&node, &pool)),
        Err(e) => not_found(&e.to_string()).into_response(),
    };
    Ok((state, response))
}

/// `POST /peer/receipts`: replies whether the copy was stored.
pub(crate) async fn post_receipt<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let response = match read::<Mirror>(&mut state).await {
        Ok(mirror) => reply_with(&node.receipts.accept_mirror(mirror).is_ok()),
        Err(problem) => problem.into_response(),
    };
    Ok((state, response))
}

/// `POST /peer/receipts/settled`
pub(crate) async fn post_settled<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let response = match read::<MirrorOutcome>(&mut state).await {
        Ok(resolved) => {
            node.receipts.resolve_mirror(&resolved);
            reply_with(&true)
        }
        Err(problem) => problem.into_response(),
    };
    Ok((state, response))
}

/// Reads and decodes a message.
async fn read<T: DeserializeOwned>(state: &mut State) -> Result<T, Problem> {
    let bytes = read_bytes(state).await?;
    vg_net::from_msgpack(&bytes).map_err(malformed)
}

/// Reads a control message and counts its bytes.
async fn read_counted<P: Platform, T: DeserializeOwned>(
    state: &mut State,
    node: &Node<P>,
    kind: &str,
) -> Result<T, Problem> {
    let bytes = read_bytes(state).await?;
    node.metrics.record_control_message(kind, Direction::Received, bytes.len());
    vg_net::from_msgpack(&bytes).map_err(malformed)
}

async fn read_bytes(state: &mut State) -> Result<Bytes, Problem> {
    let (_, body) = take_request(state);
    let read = vg_net::read_request(body, MESSAGE_MAX_BYTES, MESSAGE_TIMEOUT).await;
    read.map_err(|error| match error {
        vg_net::Error::Overloaded => Problem::not_run(ProblemCode::Overloaded, error.to_string()),
        error => malformed(error),
    })
}

fn malformed(error: vg_net::Error) -> Problem {
    Problem::not_run(ProblemCode::MalformedRequest, error.to_string())
}

fn reply_with<T: Serialize>(message: &T) -> Response<Body> {
    match vg_net::to_msgpack(message) {
        Ok(bytes) => respond(bytes),
        Err(e) => not_found(&e.to_string()).into_response(),
    }
}

/// Replies with a control message and counts its bytes.
fn counted_reply<P: Platform, T: Serialize>(
    node: &Node<P>,
    kind: &str,
    message: &T,
) -> Response<Body> {
    match vg_net::to_msgpack(message) {
        Ok(bytes) => {
            node.metrics.record_control_message(kind, Direction::Sent, bytes.len());
            respond(bytes)
        }
        Err(e) => not_found(&e.to_string()).into_response(),
    }
}

fn respond(bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(vg_net::full_body(bytes));
    let kind = http::HeaderValue::from_static("application/msgpack");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

fn not_found(detail: &str) -> Problem {
    Problem::not_run(ProblemCode::NotFound, detail)
}
