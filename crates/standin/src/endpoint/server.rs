//! The HTTP server of an endpoint.

use std::net::SocketAddr;

use gotham::prelude::*;
use gotham::router::Router;
use http::Method;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_net::{Limits, Server, ServerHandle};

use crate::endpoint::state::{EndpointState, Phase};
use crate::endpoint::{EndpointCounts, EndpointFaults, EndpointSettings, handlers};
use crate::error::StartSnafu;
use crate::web::{Context, handler, router};
use crate::{Error, RunLog};

/// An endpoint that simulates the execution of requests by sleeping.
///
/// As on a real host, a run continues after its caller has disconnected, until it
/// completes or its deadline passes.
#[derive(Debug)]
pub struct Endpoint {
    server: ServerHandle,
    state: Context<EndpointState>,
}

impl Endpoint {
    /// Starts an endpoint that records its runs in `log`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if the server cannot listen on the address.
    pub async fn start(settings: EndpointSettings, log: RunLog) -> Result<Endpoint, Error> {
        let limits = Limits { max_connections: settings.max_connections, ..Limits::default() };
        let server = Server::bind(settings.addr, limits).await.context(StartSnafu)?;
        let state = Context::new(EndpointState::new(settings, log));
        let server = server.with_gate(state.faults.gate().clone());
        let server = server.start(routes(state.clone()));
        Ok(Endpoint { server, state })
    }

    /// Returns the name of the host.
    pub fn id(&self) -> &HostId {
        &self.state.settings.id
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the handle that injects faults.
    pub fn faults(&self) -> &EndpointFaults {
        &self.state.faults
    }

    /// Returns the log of runs.
    pub fn log(&self) -> &RunLog {
        &self.state.log
    }

    /// Returns the numbers of requests so far, by result.
    pub fn counts(&self) -> EndpointCounts {
        *self.state.counts()
    }

    /// Stops accepting connections, finishes active runs and closes all connections.
    pub async fn stop(self) {
        self.state.phase.send_replace(Phase::Stopping);
        self.server.stop().await;
    }

    /// Ends all runs immediately and closes all connections.
    pub async fn kill(self) {
        self.state.phase.send_replace(Phase::Killed);
        self.server.kill().await;
    }
}

fn routes(context: Context<EndpointState>) -> Router {
    let methods = [Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE];
    router(context, |route| {
        route.put("/vg-stand-in/faults").to(handler(handlers::set_faults));
        route.get("/vg-stand-in/counts").to(handler(handlers::counts));
        route.request(methods.to_vec(), "/").to(handler(handlers::serve));
        route.request(methods.to_vec(), "/*").to(handler(handlers::serve));
    })
}
