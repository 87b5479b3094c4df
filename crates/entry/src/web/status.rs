//! Handlers for health checks, status, events and metrics.

use gotham::handler::HandlerResult;
use gotham::state::{FromState, State};
use http::{Response, StatusCode, header};
use serde::Serialize;
use vg_base::prelude::*;
use vg_net::Body;

use crate::node::{Node, NodeState};
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};
use crate::web::context::node;
use crate::web::paths::EventsQuery;

/// Largest number of events in one answer.
const EVENTS_MAX: usize = 10_000;

/// The state of a node, for `config status` and operators.
#[derive(Debug, Serialize)]
struct Status {
    node: NodeId,
    incarnation: Incarnation,
    zone: ZoneId,
    revision: Revision,
    /// Revision of the lists whose limits and pools the cluster state holds.
    #[serde(rename = "book_revision")]
    ledger_revision: Revision,
    /// Whether a majority of the members has this node's revision.
    accepted: bool,
    state: NodeState,
    /// Why this node may not act, or `None` if it may.
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    members: Vec<MemberStatus>,
    pools: Vec<PoolId>,
    running: usize,
}

#[derive(Debug, Serialize)]
struct MemberStatus {
    node: NodeId,
    incarnation: Incarnation,
    call_addr: std::net::SocketAddr,
    state: String,
}

/// `GET /healthz`: the process answers.
pub(crate) async fn get_health(state: State) -> HandlerResult {
    Ok((state, text(StatusCode::OK, "ok\n")))
}

/// `GET /readyz`: tells the load balancer whether to send calls here.
pub(crate) async fn get_ready<P: Platform>(state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let response = match node.state() {
        NodeState::Serving => text(StatusCode::OK, "serving\n"),
        other => text(StatusCode::SERVICE_UNAVAILABLE, format!("{other}\n")),
    };
    Ok((state, response))
}

/// `GET /metrics`
pub(crate) async fn get_metrics<P: Platform>(state: State) -> HandlerResult {
    let node = node::<P>(&state);
    node.metrics.set_table_size("pools", node.pools.names().len());
    node.metrics.set_table_size("running", node.pools.running());
    node.metrics.set_table_size("receipts", node.receipts.lock().len());
    node.metrics.set_table_size("receipt-bytes", node.receipts.lock().bytes());
    let clients = node.options.budget.usage();
    node.metrics.set_table_size("client-bytes", clients.bytes);
    node.metrics.set_table_size("client-connections", clients.connections);
    node.metrics.set_table_size("client-evictions", clients.evicted as usize);
    node.metrics.set_table_size("client-refusals", clients.refused as usize);
    let response = match node.metrics.encode_text() {
        Ok(metrics) => text(StatusCode::OK, metrics),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
    };
    Ok((state, response))
}

/// `GET /v1/status`
pub(crate) async fn get_status<P: Platform>(state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let response = json(&status(&node));
    Ok((state, response))
}

/// `GET /v1/events`
pub(crate) async fn get_events<P: Platform>(mut state: State) -> HandlerResult {
    let node = node::<P>(&state);
    let query = EventsQuery::take_from(&mut state);
    let max_events = query.most.unwrap_or(EVENTS_MAX).min(EVENTS_MAX);
    let window = node.events.window(query.from.unwrap_or(0), max_events);
    Ok((state, json(&window)))
}

/// Answers a request for an unknown path.
pub(crate) fn refuse_unknown(_: &mut State, response: &mut Response<Body>) {
    if !response.headers().contains_key(header::CONTENT_TYPE) {
        *response = Problem::not_run(ProblemCode::NotFound, "no such path").into_response();
    }
}

/// Answers a request whose method the path does not support.
pub(crate) fn refuse_method(_: &mut State, response: &mut Response<Body>) {
    if !response.headers().contains_key(header::CONTENT_TYPE) {
        let allow = response.headers().get(header::ALLOW).cloned();
        let detail = "this path has other methods";
        *response = Problem::not_run(ProblemCode::MethodNotAllowed, detail).into_response();
        if let Some(allow) = allow {
            response.headers_mut().insert(header::ALLOW, allow);
        }
    }
}

fn status<P: Platform>(node: &Node<P>) -> Status {
    let revision = node.config.current().revision;
    let reason = node.membership.check_may_act().err().map(|problem| problem.detail);
    let state = node.state();
    let membership = node.membership.lock();
    let cluster_state = membership.cluster_state();
    let members = cluster_state.members.iter().map(|(member, record)| MemberStatus {
        node: member.node.clone(),
        incarnation: member.incarnation,
        call_addr: record.call_addr,
        state: match record.state {
            vg_peer::MemberState::Live => "live".to_owned(),
            vg_peer::MemberState::Leaving => "leaving".to_owned(),
            vg_peer::MemberState::Fenced { .. } => "lost".to_owned(),
        },
    });
    let (members, ledger_revision) = (members.collect(), cluster_state.ledger.revision);
    let accepted = membership.view().is_accepted(revision);
    let me = membership.me().clone();
    drop(membership);
    Status {
        node: me.node,
        incarnation: me.incarnation,
        zone: node.options.zone.clone(),
        revision,
        ledger_revision,
        accepted,
        state,
        reason,
        members,
        pools: node.pools.names(),
        running: node.pools.running(),
    }
}

fn text(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<Body> {
    typed(status, "text/plain; charset=utf-8", body)
}

fn json<T: Serialize>(value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => typed(StatusCode::OK, "application/json", body),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
    }
}

fn typed(status: StatusCode, kind: &'static str, body: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(vg_net::full_body(body));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
