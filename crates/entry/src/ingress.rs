//! Accepts calls from callers, admits them, reads their bodies and routes them to the
//! owners of their pools.

use http::{HeaderMap, HeaderValue, Response, header};
use rand::Rng;
use vg_base::prelude::*;
use vg_conf::KeyDigest;
use vg_events::{Code, Field};
use vg_net::Body;

use crate::admit::admit_digest;
use crate::call::Call;
use crate::membership::PoolOwner;
use crate::node::Node;
use crate::options::Options;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};
use crate::{dispatch, forward, headers, relay};

/// Delay between two attempts to reach a pool's owner while the owner changes.
const OWNER_RETRY: Duration = Duration::from_millis(100);
/// Delay before a caller retries whose body found no room.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);
/// How long a call waits for an owner change before the caller is told to retry.
const OWNER_WAIT: Duration = Duration::from_millis(1500);

/// Serves one call from a caller. Returns the endpoint's answer or a [`Problem`] with the
/// proven outcome.
pub(crate) async fn call<P: Platform>(
    node: &Node<P>,
    queue: &str,
    headers: &HeaderMap,
    body: Body,
) -> Response<Body> {
    let received = node.clock.now();
    let call = match accept(node, queue, headers, body, received).await {
        Ok(call) => call,
        Err(problem) => {
            node.metrics.record_refusal();
            return problem.into_response();
        }
    };
    let (id, queue) = (call.id, call.queue.clone());
    let result = serve(node, call).await;
    let outcome = result.as_ref().map_or_else(|problem| problem.outcome, |_| Outcome::Answered);
    let took = node.clock.now().saturating_duration_since(received);
    node.metrics.record_call(&queue, outcome, took);
    let mut response = result.unwrap_or_else(Problem::into_response);
    set_request_id(&mut response, id);
    response
}

/// Routes a call, buffers the start of its answer and records both ends as events.
async fn serve<P: Platform>(node: &Node<P>, call: Call) -> Result<Response<Body>, Problem> {
    let fields = [
        Field::new("request", call.id),
        Field::new("queue", &call.queue),
        Field::new("team", &call.team),
    ];
    node.events.record(Code::CallReceived, fields);
    let id = call.id;
    let result = route(node, call).await;
    let result = match result {
        Ok(response) => relay::buffer_start(response).await,
        Err(problem) => Err(problem),
    };
    record_end(node, id, &result);
    result
}

/// Admits a call and reads its body.
async fn accept<P: Platform>(
    node: &Node<P>,
    queue: &str,
    headers: &HeaderMap,
    body: Body,
    received: Instant,
) -> Result<Call, Problem> {
    node.await_serving().await?;
    let requested = headers::deadline(headers)?;
    let key = headers::idempotency_key(headers)?;
    let digest = headers::bearer(headers)?.map(KeyDigest::of);
    let config = node.config.current();
    let admitted = admit_digest(&config.lists, queue, digest)?;
    let max = admitted.queue.deadline.min(Options::CALL_MAX);
    let limit = requested.unwrap_or(max).min(max);
    let body = read_body(node, body, limit).await?;
    Ok(Call {
        id: RequestId::new(rand::rng().random()),
        queue: admitted.queue.id.clone(),
        pool: admitted.queue.pool.clone(),
        team: admitted.plan.team.clone(),
        class: admitted.queue.class,
        deadline: received + limit,
        idempotent: admitted.queue.idempotent,
        digest,
        key,
        via: None,
        content_type: headers.get(header::CONTENT_TYPE).cloned(),
        body,
    })
}

/// Reads the whole body before anything is written to an endpoint, so that nothing has
/// run if the caller stops halfway.
pub(crate) async fn read_body<P: Platform>(
    node: &Node<P>,
    body: Body,
    limit: Duration,
) -> Result<bytes::Bytes, Problem> {
    let max = node.options.max_body_bytes;
    vg_net::read_request(body, max, limit).await.map_err(|error| match error {
        vg_net::Error::BodyTooLong { limit } => {
            let detail = format!("a body has at most {limit} bytes");
            Problem::not_run(ProblemCode::BodyTooLong, detail)
        }
        vg_net::Error::Overloaded => {
            Problem::not_run(ProblemCode::Overloaded, error.to_string()).retry_after(OVERLOAD_RETRY)
        }
        vg_net::Error::SlowBody => {
            let detail = format!("the body did not come within {} ms", limit.as_millis());
            Problem::not_run(ProblemCode::BodyCut, detail)
        }
        error => Problem::not_run(ProblemCode::BodyCut, error.to_string()),
    })
}

/// Passes a call to its pool's owner, and tries again as long as the call has not run
/// because the pool has no reachable owner.
async fn route<P: Platform>(node: &Node<P>, call: Call) -> Result<Response<Body>, Problem> {
    let retry_until = call.deadline.min(node.clock.now() + OWNER_WAIT);
    loop {
        let result = match node.membership.owner(&call.pool) {
            Some(PoolOwner::Local) => dispatch::run(node, call.clone()).await,
            Some(PoolOwner::Peer(peer)) => forward::call(node, &peer, &call).await,
            None => Err(Problem::not_run(ProblemCode::NoOwner, "the pool has no entry host yet")),
        };
        let problem = match result {
            Err(problem) if problem.code == ProblemCode::NoOwner => problem,
            ended => return ended,
        };
        if node.clock.now() + OWNER_RETRY >= retry_until {
            return Err(problem.retry_after(OWNER_WAIT));
        }
        tokio::time::sleep(OWNER_RETRY).await;
    }
}

/// Records the event of how a call ended.
fn record_end<P: Platform>(
    node: &Node<P>,
    id: RequestId,
    result: &Result<Response<Body>, Problem>,
) {
    let request = Field::new("request", id);
    match result {
        Ok(response) => {
            let fields = [request, Field::new("status", response.status().as_u16())];
            node.events.record(Code::CallAnswered, fields);
        }
        Err(problem) => {
            let code = match problem.outcome {
                Outcome::Unknown => Code::CallUnknown,
                Outcome::NotRun | Outcome::Answered => Code::CallNotRun,
            };
            node.events.record(code, [request, Field::new("code", problem.code)]);
        }
    }
}

impl From<headers::HeaderError> for Problem {
    fn from(error: headers::HeaderError) -> Problem {
        Problem::not_run(ProblemCode::MalformedRequest, error.to_string())
    }
}

/// Adds the request's id to its answer.
fn set_request_id(response: &mut Response<Body>, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
}
