//! The server of an endpoint.

use std::net::SocketAddr;

use gotham::prelude::*;
use gotham::router::Router;
use http::Method;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_net::{Limits, Server, ServerHandle};

use crate::endpoint::state::{EndpointState, Phase};
use crate::endpoint::{EndpointCounts, EndpointFaults, EndpointSettings, serve};
use crate::error::StartSnafu;
use crate::web::{Context, handle, router};
use crate::{Error, RunLog};

/// An endpoint instance that runs requests by sleeping.
///
/// A run goes on when its caller has gone, as on a real host, until it is over
/// or its deadline has passed.
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
    /// [`Error::Start`] when the address can't be served.
    pub async fn start(settings: EndpointSettings, log: RunLog) -> Result<Endpoint, Error> {
        let limits = Limits { max_connections: settings.connections, ..Limits::default() };
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

    /// Returns the address that is served.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the handle that steers the faults.
    pub fn faults(&self) -> &EndpointFaults {
        &self.state.faults
    }

    /// Returns the record of runs.
    pub fn log(&self) -> &RunLog {
        &self.state.log
    }

    /// Returns what became of the requests so far.
    pub fn counts(&self) -> EndpointCounts {
        *self.state.counts()
    }

    /// Stops accepting, finishes what runs and closes all connections.
    pub async fn stop(self) {
        self.state.phase.send_replace(Phase::Stopping);
        self.server.stop().await;
    }

    /// Ends all runs where they are and cuts all connections.
    pub async fn kill(self) {
        self.state.phase.send_replace(Phase::Killed);
        self.server.kill().await;
    }
}

fn routes(context: Context<EndpointState>) -> Router {
    let methods = [Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE];
    router(context, |route| {
        route.put("/vg-stand-in/faults").to(handle(serve::set_faults));
        route.get("/vg-stand-in/counts").to(handle(serve::counts));
        route.request(methods.to_vec(), "/").to(handle(serve::request));
        route.request(methods.to_vec(), "/*").to(handle(serve::request));
    })
}
