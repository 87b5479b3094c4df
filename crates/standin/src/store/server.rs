//! The HTTP server of the stand-in for the store.

use std::net::SocketAddr;

use gotham::prelude::*;
use gotham::router::Router;
use snafu::ResultExt;
use vg_base::prelude::*;
use vg_net::{Limits, Server, ServerHandle};
use vg_store::{CallCounts, FaultControl, FaultyStore, MemStore};

use crate::Error;
use crate::error::StartSnafu;
use crate::store::handlers;
use crate::web::{Context, handler, router};

/// A key-value store that serves the JSON gateway of etcd v3.
///
/// The data is in the [`MemStore`], which the caller can keep: a new server with the
/// same `MemStore` simulates a restart of the service.
#[derive(Debug)]
pub struct StoreServer {
    server: ServerHandle,
    faults: FaultControl,
}

impl StoreServer {
    /// Starts a server. Port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if the server cannot listen on the address.
    pub async fn start<C: Clock>(
        addr: SocketAddr,
        store: MemStore<C>,
    ) -> Result<StoreServer, Error> {
        let faults = FaultControl::new();
        let store = FaultyStore::new(store, faults.clone());
        let server = Server::bind(addr, Limits::default()).await.context(StartSnafu)?;
        let server = server.start(routes(Context::new(store)));
        Ok(StoreServer { server, faults })
    }

    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the handle that injects faults.
    pub fn faults(&self) -> &FaultControl {
        &self.faults
    }

    /// Returns the numbers of calls so far, by kind.
    pub fn counts(&self) -> CallCounts {
        self.faults.counts()
    }

    /// Closes all connections immediately and stops listening.
    pub async fn kill(self) {
        self.server.kill().await;
    }
}

fn routes<C: Clock>(context: Context<FaultyStore<MemStore<C>>>) -> Router {
    router(context, |route| {
        route.post("/v3/kv/range").to(handler(handlers::range::<C>));
        route.post("/v3/kv/txn").to(handler(handlers::txn::<C>));
        route.post("/v3/lease/grant").to(handler(handlers::grant::<C>));
        route.post("/v3/lease/keepalive").to(handler(handlers::keep_alive::<C>));
        route.post("/v3/lease/revoke").to(handler(handlers::revoke::<C>));
        route.post("/v3/watch").to(handler(handlers::watch::<C>));
        route.put("/faults").to(handler(handlers::set_faults::<C>));
        route.get("/counts").to(handler(handlers::counts::<C>));
    })
}
