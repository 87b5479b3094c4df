//! The HTTP server of the host list.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use gotham::prelude::*;
use gotham::router::Router;
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_net::{Limits, Server, ServerHandle};

use crate::Error;
use crate::error::StartSnafu;
use crate::hosts::lagging::LaggingList;
use crate::hosts::{Host, HostState, HostsResponse};
use crate::web::{Context, Exchange, IdPath, Problem, Reply, handler, json, router};

/// A host list with live and leaving hosts, which shows changes after a delay.
#[derive(Debug)]
pub struct HostListServer<C: Clock = SystemClock> {
    server: ServerHandle,
    state: Context<State<C>>,
}

#[derive(Debug)]
struct State<C> {
    clock: C,
    down: AtomicBool,
    list: Mutex<LaggingList>,
}

impl<C: Clock> State<C> {
    fn lock(&self) -> MutexGuard<'_, LaggingList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> HostListServer<C> {
    /// Starts a server with an empty list. Port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if the server cannot listen on the address.
    pub async fn start(addr: SocketAddr, clock: C) -> Result<HostListServer<C>, Error> {
        let server = Server::bind(addr, Limits::default()).await.context(StartSnafu)?;
        let list = Mutex::default();
        let state = Context::new(State { clock, down: AtomicBool::new(false), list });
        let server = server.start(routes(state.clone()));
        Ok(HostListServer { server, state })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds or replaces a host.
    pub fn put(&self, host: Host) {
        let now = self.state.clock.now();
        self.state.lock().put(host, now);
    }

    /// Marks a host as leaving. Returns whether the host is listed.
    pub fn mark_leaving(&self, id: &HostId) -> bool {
        let now = self.state.clock.now();
        self.state.lock().set_state(id, HostState::Leaving, now)
    }

    /// Removes a host. Returns whether the host was listed.
    pub fn remove(&self, id: &HostId) -> bool {
        let now = self.state.clock.now();
        self.state.lock().remove(id, now)
    }

    /// Sets the delay after which a change becomes visible to readers.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().set_lag(lag);
    }

    /// Sets whether every read is answered with status 503.
    pub fn set_down(&self, down: bool) {
        self.state.down.store(down, Ordering::Relaxed);
    }

    /// Returns the list that readers currently see.
    pub fn visible_list(&self) -> HostsResponse {
        let now = self.state.clock.now();
        self.state.lock().visible(now)
    }

    /// Closes all connections immediately and stops listening.
    pub async fn kill(self) {
        self.server.kill().await;
    }
}

fn routes<C: Clock>(context: Context<State<C>>) -> Router {
    router(context, |route| {
        route.get("/hosts").to(handler(list::<C>));
        route.put("/hosts").to(handler(put_host::<C>));
        route
            .post("/hosts/:id/leave")
            .with_path_extractor::<IdPath>()
            .to(handler(mark_leaving::<C>));
        route.delete("/hosts/:id").with_path_extractor::<IdPath>().to(handler(remove_host::<C>));
        route.put("/faults").to(handler(set_faults::<C>));
    })
}

/// Body of `PUT /faults`, which replaces all faults; `{}` ends them.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct HostListFaultsRequest {
    /// Delay after which a change becomes visible, in milliseconds.
    lag_ms: u64,
    /// Whether every read is answered with status 503.
    down: bool,
}

async fn list<C: Clock>(exchange: Exchange<State<C>>) -> Reply {
    let state = &exchange.context;
    if state.down.load(Ordering::Relaxed) {
        return Err(Problem::new(StatusCode::SERVICE_UNAVAILABLE, "down", "the list is down"));
    }
    let now = state.clock.now();
    let list = state.lock().visible(now);
    let etag = format!("\"{}\"", list.revision);
    let cached = exchange.headers.get(header::IF_NONE_MATCH);
    if cached.is_some_and(|cached| cached.as_bytes() == etag.as_bytes()) {
        return not_modified();
    }
    let mut response = json(&list)?;
    if let Ok(etag) = HeaderValue::from_str(&etag) {
        response.headers_mut().insert(header::ETAG, etag);
    }
    Ok(response)
}

fn not_modified() -> Reply {
    let mut response = Response::new(vg_net::empty_body());
    *response.status_mut() = StatusCode::NOT_MODIFIED;
    Ok(response)
}

async fn put_host<C: Clock>(mut exchange: Exchange<State<C>>) -> Reply {
    let host: Host = exchange.read_json().await?;
    let now = exchange.context.clock.now();
    exchange.context.lock().put(host.clone(), now);
    json(&host)
}

async fn mark_leaving<C: Clock>(exchange: Exchange<State<C>>) -> Reply {
    let id = parse_host_id(&exchange.id)?;
    let now = exchange.context.clock.now();
    let listed = exchange.context.lock().set_state(&id, HostState::Leaving, now);
    if listed { json(&id) } else { Err(not_listed(&id)) }
}

async fn remove_host<C: Clock>(exchange: Exchange<State<C>>) -> Reply {
    let id = parse_host_id(&exchange.id)?;
    let now = exchange.context.clock.now();
    let listed = exchange.context.lock().remove(&id, now);
    if listed { json(&id) } else { Err(not_listed(&id)) }
}

async fn set_faults<C: Clock>(mut exchange: Exchange<State<C>>) -> Reply {
    let request: HostListFaultsRequest = exchange.read_json().await?;
    exchange.context.lock().set_lag(Duration::from_millis(request.lag_ms));
    exchange.context.down.store(request.down, Ordering::Relaxed);
    json(&request)
}

fn parse_host_id(text: &str) -> Result<HostId, Problem> {
    text.parse().map_err(|e| Problem::new(StatusCode::BAD_REQUEST, "malformed", e))
}

fn not_listed(id: &HostId) -> Problem {
    Problem::new(StatusCode::NOT_FOUND, "no-host", format!("{id} is not listed"))
}
