//! Forwards calls from the ingress to the owner of their pool, in a single hop.

use http::{HeaderMap, HeaderValue, Request, Response, header};
use vg_base::prelude::*;
use vg_conf::KeyDigest;
use vg_net::Body;

use crate::call::Call;
use crate::headers;
use crate::membership::Peer;
use crate::node::Node;
use crate::options::Options;
use crate::platform::Platform;
use crate::problem::{PROBLEM_TYPE, Problem, ProblemCode};

/// Time past the deadline for which the ingress waits for the owner's own answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Size limit for a problem document of an owner.
const PROBLEM_MAX_BYTES: usize = 16 * 1024;

/// Forwards a call to its pool's owner.
///
/// # Errors
///
/// The owner's own problem; [`ProblemCode::QueueFull`] if this node cannot store a copy of
/// the receipt, and [`ProblemCode::NoOwner`] if the owner was not reached (in both cases
/// the call has not run); [`ProblemCode::DeadlinePassed`] or [`ProblemCode::OwnerLost`] if
/// the owner may have received the call but gave no answer (unknown outcome).
pub(crate) async fn call<P: Platform>(
    node: &Node<P>,
    owner: &Peer,
    call: &Call,
) -> Result<Response<Body>, Problem> {
    let receipt = node.receipts.mirror_forwarded(call)?;
    let result = exchange(node, owner, call).await;
    let outcome = result.as_ref().map_or_else(|problem| problem.outcome, |_| Outcome::Answered);
    if let Some(name) = receipt {
        node.receipts.resolve(&name, call.id, outcome);
    }
    result
}

/// Sends the call to the owner and waits for the head of the answer.
async fn exchange<P: Platform>(
    node: &Node<P>,
    owner: &Peer,
    call: &Call,
) -> Result<Response<Body>, Problem> {
    let limit = call.remaining(node.clock.now()) + ANSWER_GRACE;
    let request = request(owner, call, node)?;
    let response = match node.client.send(request, limit).await {
        Ok(response) => response,
        Err(e) if e.is_not_sent() => {
            let detail = format!("entry host `{}` cannot be reached", owner.member.node);
            return Err(Problem::not_run(ProblemCode::NoOwner, detail));
        }
        Err(vg_net::Error::Timeout { .. }) => {
            let detail = "the entry host that has the call gave no answer in time";
            return Err(Problem::unknown(ProblemCode::DeadlinePassed, detail));
        }
        Err(_) => {
            let detail = format!("entry host `{}` was lost with the call", owner.member.node);
            return Err(Problem::unknown(ProblemCode::OwnerLost, detail));
        }
    };
    if !is_problem(response.headers()) {
        return Ok(response.map(vg_net::stream_body));
    }
    Err(read_problem(response).await)
}

/// Builds the forwarded request. Its deadline is sent as the remaining time in
/// milliseconds.
fn request<P: Platform>(
    owner: &Peer,
    call: &Call,
    node: &Node<P>,
) -> Result<Request<Body>, Problem> {
    let malformed = |e: http::Error| {
        Problem::not_run(ProblemCode::MalformedRequest, format!("cannot be handed on: {e}"))
    };
    let remaining = call.remaining(node.clock.now()).as_millis().max(1);
    let mut request =
        Request::post(format!("http://{}/peer/queues/{}/calls", owner.addr, call.queue))
            .header(headers::REQUEST_ID, call.id.to_string())
            .header(headers::TEAM, call.team.as_str())
            .header(headers::VIA_NODE, node.options.node.as_str())
            .header(headers::OWNER_EPOCH, owner.epoch.to_string())
            .header(headers::DEADLINE_MS, remaining.to_string());
    if let Some(digest) = call.digest {
        request = request.header(headers::KEY_DIGEST, digest.to_string());
    }
    if let Some(key) = &call.key {
        request = request.header(headers::IDEMPOTENCY_KEY, key.as_str());
    }
    if let Some(content_type) = &call.content_type {
        request = request.header(header::CONTENT_TYPE, content_type);
    }
    request.body(vg_net::full_body(call.body.clone())).map_err(malformed)
}

/// Distinguishes an owner's own problem from an endpoint's answer, which may be a problem
/// document too.
fn is_problem(headers: &HeaderMap) -> bool {
    headers.contains_key(headers::VERDICT)
}

/// Reads an owner's own problem. If it is truncated or malformed, the outcome is unknown.
async fn read_problem(response: Response<hyper::body::Incoming>) -> Problem {
    let lost = || Problem::unknown(ProblemCode::OwnerLost, "the verdict on the call was cut");
    let Ok(body) = vg_net::read_body(response.into_body(), PROBLEM_MAX_BYTES).await else {
        return lost();
    };
    serde_json::from_slice(&body).unwrap_or_else(|_| lost())
}

/// Answers a peer with a problem, marked as this node's own.
pub(crate) fn own_problem(problem: Problem) -> Response<Body> {
    let mut response = problem.into_response();
    response.headers_mut().insert(headers::VERDICT, HeaderValue::from_static(PROBLEM_TYPE));
    response
}

/// Parses a forwarded call. Key, queue and plan are checked again by this node's own
/// lists, which may be newer than the sender's.
///
/// # Errors
///
/// A refusal. The call has not run.
pub(crate) async fn receive<P: Platform>(
    node: &Node<P>,
    queue: &str,
    headers: &HeaderMap,
    body: Body,
) -> Result<Call, Problem> {
    let now = node.clock.now();
    let missing = |what| Problem::not_run(ProblemCode::MalformedRequest, format!("no {what}"));
    let id = headers::parsed(headers, &headers::REQUEST_ID, "a request id")?;
    let team = headers::parsed::<TeamId>(headers, &headers::TEAM, "a team")?;
    let epoch = headers::parsed::<Epoch>(headers, &headers::OWNER_EPOCH, "an epoch")?;
    let digest = headers::parsed::<KeyDigest>(headers, &headers::KEY_DIGEST, "a key digest")?;
    let limit = headers::deadline(headers)?.ok_or_else(|| missing("deadline"))?;
    let limit = limit.min(Options::CALL_MAX);
    let key = headers::idempotency_key(headers)?;
    let config = node.config.current();
    let admitted = crate::admit::admit_digest(&config.lists, queue, digest)?;
    if team.is_some_and(|team| team != admitted.plan.team) {
        return Err(Problem::not_run(ProblemCode::UnknownKey, "the key changed its team"));
    }
    node.membership.check_owner(&admitted.queue.pool, epoch.unwrap_or_default())?;
    let body = crate::ingress::read_body(node, body, limit).await?;
    Ok(Call {
        id: id.ok_or_else(|| missing("request id"))?,
        queue: admitted.queue.id.clone(),
        pool: admitted.queue.pool.clone(),
        team: admitted.plan.team.clone(),
        class: admitted.queue.class,
        deadline: now + limit,
        idempotent: admitted.queue.idempotent,
        digest,
        key,
        via: headers::parsed(headers, &headers::VIA_NODE, "an entry host")?,
        content_type: headers.get(header::CONTENT_TYPE).cloned(),
        body,
    })
}
