//! Request handlers of a worker.

use http::StatusCode;
use serde::Serialize;
use vg_base::prelude::*;

use crate::web::{Exchange, Reply, json, json_with_status};
use crate::worker::server::WorkerState;
use crate::worker::{
    LeaseRequest, QueryRequest, RenewRequest, TaskError, TaskSpec, TasksResponse, ThrottleRequest,
    WorkerFaultsRequest,
};

/// Handles `POST /tasks`.
pub(crate) async fn start<C: Clock>(mut exchange: Exchange<WorkerState<C>>) -> Reply {
    let state = exchange.context.clone();
    let spec: TaskSpec = exchange.read_json().await?;
    state.faults.wait_while_hung().await;
    let (now, wall) = (state.clock.now(), state.clock.wall());
    let status = state.table().start(spec, state.faults.fails(), now, wall)?;
    json_with_status(StatusCode::CREATED, &status)
}

/// Handles `POST /lease`.
pub(crate) async fn lease<C: Clock>(mut exchange: Exchange<WorkerState<C>>) -> Reply {
    let state = exchange.context.clone();
    let request: LeaseRequest = exchange.read_json().await?;
    state.faults.wait_while_hung().await;
    let ttl = Duration::from_millis(request.lease_ms);
    state.table().renew_lease(request.epoch, ttl, state.clock.now())?;
    json(&report(&state))
}

/// Handles `POST /jobs/{id}/query`.
pub(crate) async fn query<C: Clock>(mut exchange: Exchange<WorkerState<C>>) -> Reply {
    let state = exchange.context.clone();
    let request: QueryRequest = exchange.read_json().await?;
    state.faults.wait_while_hung().await;
    let job = exchange.id.parse().map_err(|_| TaskError::UnknownTask)?;
    let status = state.table().query(job, &request, state.clock.now())?;
    json(&status)
}

/// Handles `POST /tasks/{id}/renew`.
pub(crate) async fn renew<C: Clock>(mut exchange: Exchange<WorkerState<C>>) -> Reply {
    let state = exchange.context.clone();
    let request: RenewRequest = exchange.read_json().await?;
    state.faults.wait_while_hung().await;
    let ttl = Duration::from_millis(request.lease_ms);
    let status = state.table().renew(&exchange.id, ttl, state.clock.now())?;
    json(&status)
}

/// Handles `POST /tasks/{id}/checkpoint`.
pub(crate) async fn checkpoint<C: Clock>(exchange: Exchange<WorkerState<C>>) -> Reply {
    let state = &exchange.context;
    state.faults.wait_while_hung().await;
    let status = state.table().checkpoint(&exchange.id, state.clock.now())?;
    json(&status)
}

/// Handles `POST /tasks/{id}/throttle`.
pub(crate) async fn throttle<C: Clock>(mut exchange: Exchange<WorkerState<C>>) -> Reply {
    let state = exchange.context.clone();
    let request: ThrottleRequest = exchange.read_json().await?;
    state.faults.wait_while_hung().await;
    let status = state.table().throttle(&exchange.id, request.percent, state.clock.now())?;
    json(&status)
}

/// Handles `POST /tasks/{id}/stop`.
pub(crate) async fn stop<C: Clock>(exchange: Exchange<WorkerState<C>>) -> Reply {
    let state = &exchange.context;
    state.faults.wait_while_hung().await;
    let status = state.table().stop(&exchange.id, state.clock.now())?;
    json(&status)
}

/// Handles `DELETE /tasks/{id}`.
pub(crate) async fn forget<C: Clock>(exchange: Exchange<WorkerState<C>>) -> Reply {
    let state = &exchange.context;
    state.faults.wait_while_hung().await;
    state.table().forget(&exchange.id, state.clock.now())?;
    json(&Forgotten { task: &exchange.id })
}

/// Response to a request to forget a task.
#[derive(Serialize)]
struct Forgotten<'a> {
    task: &'a str,
}

/// Handles `GET /tasks`.
pub(crate) async fn list<C: Clock>(exchange: Exchange<WorkerState<C>>) -> Reply {
    let state = &exchange.context;
    state.faults.wait_while_hung().await;
    json(&report(state))
}

fn report<C: Clock>(state: &WorkerState<C>) -> TasksResponse {
    let now = state.clock.now();
    let lag = state.faults.lag().unwrap_or(state.settings.usage_lag);
    let mut table = state.table();
    table.advance(now);
    TasksResponse {
        worker: state.settings.id.clone(),
        incarnation: table.incarnation(),
        capacity: state.settings.capacity,
        usage: table.usage(lag, now),
        tasks: table.statuses(),
    }
}

/// Handles `PUT /faults`.
pub(crate) async fn set_faults<C: Clock>(mut exchange: Exchange<WorkerState<C>>) -> Reply {
    let request: WorkerFaultsRequest = exchange.read_json().await?;
    exchange.context.faults.apply(request);
    json(&request)
}
