//! The server of the store's stand-in.

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
use crate::web::{Context, handle, router};

/// A store that answers in the JSON of the etcd v3 gateway.
///
/// The keys live in the [`MemStore`], which the caller keeps: a new server on
/// the same one stands for the service after a restart.
#[derive(Debug)]
pub struct StoreServer {
    server: ServerHandle,
    faults: FaultControl,
}

impl StoreServer {
    /// Starts a server; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// [`Error::Start`] when the address can't be served.
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

    /// Returns the address that is served.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the handle that steers the faults.
    pub fn faults(&self) -> &FaultControl {
        &self.faults
    }

    /// Returns the calls answered so far.
    pub fn counts(&self) -> CallCounts {
        self.faults.counts()
    }

    /// Cuts all connections and stops listening.
    pub async fn kill(self) {
        self.server.kill().await;
    }
}

fn routes<C: Clock>(context: Context<FaultyStore<MemStore<C>>>) -> Router {
    router(context, |route| {
        route.post("/v3/kv/range").to(handle(handlers::range::<C>));
        route.post("/v3/kv/txn").to(handle(handlers::txn::<C>));
        route.post("/v3/lease/grant").to(handle(handlers::grant::<C>));
        route.post("/v3/lease/keepalive").to(handle(handlers::keep_alive::<C>));
        route.post("/v3/lease/revoke").to(handle(handlers::revoke::<C>));
        route.post("/v3/watch").to(handle(handlers::watch::<C>));
        route.put("/faults").to(handle(handlers::set_faults::<C>));
        route.get("/counts").to(handle(handlers::counts::<C>));
    })
}
