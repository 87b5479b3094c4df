//! The server of the host list.

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
use crate::web::{Context, Exchange, IdPath, Problem, Reply, handle, json, router};

/// The platform's lagging list of live and leaving hosts.
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
    /// Starts a server with an empty list; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] when the address can't be served.
    pub async fn start(addr: SocketAddr, clock: C) -> Result<HostListServer<C>, Error> {
        let server = Server::bind(addr, Limits::default()).await.context(StartSnafu)?;
        let list = Mutex::default();
        let state = Context::new(State { clock, down: AtomicBool::new(false), list });
        let server = server.start(routes(state.clone()));
        Ok(HostListServer { server, state })
    }

    /// Returns the address that is served.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds or replaces a host.
    pub fn put(&self, host: Host) {
        let now = self.state.clock.now();
        self.state.lock().put(host, now);
    }

    /// Marks a host as leaving; returns whether it is listed.
    pub fn leave(&self, id: &HostId) -> bool {
        let now = self.state.clock.now();
        self.state.lock().set_state(id, HostState::Leaving, now)
    }

    /// Removes a host; returns whether it was listed.
    pub fn remove(&self, id: &HostId) -> bool {
        let now = self.state.clock.now();
        self.state.lock().remove(id, now)
    }

    /// Sets how late changes are shown.
    pub fn set_lag(&self, lag: Duration) {
        self.state.lock().set_lag(lag);
    }

    /// Answers every read with 503, or ends that.
    pub fn set_down(&self, down: bool) {
        self.state.down.store(down, Ordering::Relaxed);
    }

    /// Returns the list as readers see it.
    pub fn shown(&self) -> HostsResponse {
        let now = self.state.clock.now();
        self.state.lock().show(now)
    }

    /// Cuts all connections and stops listening.
    pub async fn kill(self) {
        self.server.kill().await;
    }
}

fn routes<C: Clock>(context: Context<State<C>>) -> Router {
    router(context, |route| {
        route.get("/hosts").to(handle(show::<C>));
        route.put("/hosts").to(handle(put::<C>));
        route.post("/hosts/:id/leave").with_path_extractor::<IdPath>().to(handle(leave::<C>));
        route.delete("/hosts/:id").with_path_extractor::<IdPath>().to(handle(remove::<C>));
        route.put("/faults").to(handle(set_faults::<C>));
    })
}

/// `PUT /faults`: replaces all faults; `{}` ends them.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct FaultsRequest {
    /// How late changes are shown.
    lag_ms: u64,
    /// Whether every read is answered 503.
    down: bool,
}

async fn show<C: Clock>(exchange: Exchange<State<C>>) -> Reply {
    let state = &exchange.context;
    if state.down.load(Ordering::Relaxed) {
        return Err(Problem::new(StatusCode::SERVICE_UNAVAILABLE, "down", "the list is down"));
    }
    let now = state.clock.now();
    let list = state.lock().show(now);
    let tag = format!("\"{}\"", list.revision);
    let known = exchange.headers.get(header::IF_NONE_MATCH);
    if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return not_modified();
    }
    let mut response = json(&list)?;
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    Ok(response)
}

fn not_modified() -> Reply {
    let mut response = Response::new(vg_net::empty_body());
    *response.status_mut() = StatusCode::NOT_MODIFIED;
    Ok(response)
}

async fn put<C: Clock>(mut exchange: Exchange<State<C>>) -> Reply {
    let host: Host = exchange.json().await?;
    let now = exchange.context.clock.now();
    exchange.context.lock().put(host.clone(), now);
    json(&host)
}

async fn leave<C: Clock>(exchange: Exchange<State<C>>) -> Reply {
    let id = host_id(&exchange.id)?;
    let now = exchange.context.clock.now();
    let listed = exchange.context.lock().set_state(&id, HostState::Leaving, now);
    if listed { json(&id) } else { Err(not_listed(&id)) }
}

async fn remove<C: Clock>(exchange: Exchange<State<C>>) -> Reply {
    let id = host_id(&exchange.id)?;
    let now = exchange.context.clock.now();
    let listed = exchange.context.lock().remove(&id, now);
    if listed { json(&id) } else { Err(not_listed(&id)) }
}

async fn set_faults<C: Clock>(mut exchange: Exchange<State<C>>) -> Reply {
    let request: FaultsRequest = exchange.json().await?;
    exchange.context.lock().set_lag(Duration::from_millis(request.lag_ms));
    exchange.context.down.store(request.down, Ordering::Relaxed);
    json(&request)
}

fn host_id(text: &str) -> Result<HostId, Problem> {
    text.parse().map_err(|e| Problem::new(StatusCode::BAD_REQUEST, "malformed", e))
}

fn not_listed(id: &HostId) -> Problem {
    Problem::new(StatusCode::NOT_FOUND, "no-host", format!("{id} is not listed"))
}
