//! Calls as they come from callers: admission, body, and the way to the pool's
//! owner.

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

/// Wait between two looks for a pool's owner while it changes.
const OWNER_RETRY: Duration = Duration::from_millis(100);
/// Time that an owner change may take before the caller is told to come back.
const OWNER_PATIENCE: Duration = Duration::from_millis(1500);

/// Serves one call from a caller: its answer, or a [`Problem`] with the proved
/// outcome.
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
    tag(&mut response, id);
    response
}

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

/// Checks a call and reads its body.
async fn accept<P: Platform>(
    node: &Node<P>,
    queue: &str,
    headers: &HeaderMap,
    body: Body,
    received: Instant,
) -> Result<Call, Problem> {
    node.await_serving().await?;
    let asked = headers::deadline(headers)?;
    let key = headers::idempotency_key(headers)?;
    let digest = headers::bearer(headers)?.map(KeyDigest::of);
    let config = node.config.current();
    let admitted = admit_digest(&config.lists, queue, digest)?;
    let most = admitted.queue.deadline.min(Options::CALL_MAX);
    let limit = asked.unwrap_or(most).min(most);
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

/// Reads the whole body before anything is written to an endpoint, so that a
/// caller that stops halfway has run nothing.
pub(crate) async fn read_body<P: Platform>(
    node: &Node<P>,
    body: Body,
    limit: Duration,
) -> Result<bytes::Bytes, Problem> {
    let most = node.options.max_body_bytes;
    match tokio::time::timeout(limit, vg_net::read_body(body, most)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(vg_net::Error::BodyTooLong { limit })) => {
            let detail = format!("a body has at most {limit} bytes");
            Err(Problem::not_run(ProblemCode::BodyTooLong, detail))
        }
        Ok(Err(e)) => Err(Problem::not_run(ProblemCode::BodyCut, e.to_string())),
        Err(_) => {
            let detail = format!("the body did not come within {} ms", limit.as_millis());
            Err(Problem::not_run(ProblemCode::BodyCut, detail))
        }
    }
}

/// Hands a call to its pool's owner, and again while nothing of it has run.
async fn route<P: Platform>(node: &Node<P>, call: Call) -> Result<Response<Body>, Problem> {
    let give_up = call.deadline.min(node.clock.now() + OWNER_PATIENCE);
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
        if node.clock.now() + OWNER_RETRY >= give_up {
            return Err(problem.retry_after(OWNER_PATIENCE));
        }
        tokio::time::sleep(OWNER_RETRY).await;
    }
}

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

/// Sets the id of the request on its answer.
fn tag(response: &mut Response<Body>, id: RequestId) {
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
}
