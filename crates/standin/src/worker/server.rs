//! The HTTP server of a worker.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use gotham::prelude::*;
use gotham::router::Router;
use snafu::ResultExt;
use tokio::task::JoinHandle;
use tokio::time::interval;
use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_net::{Limits, Server, ServerHandle};

use crate::error::StartSnafu;
use crate::web::{Context, IdPath, handler, router};
use crate::worker::table::TaskTable;
use crate::worker::{TaskStatus, WorkerFaults, WorkerSettings, handlers};
use crate::{Error, RunLog};

/// Interval at which tasks are checked for completion and expired leases.
const ADVANCE_PERIOD: Duration = Duration::from_millis(5);

/// A worker that simulates the execution of tasks by the passage of time on the clock
/// `C`.
#[derive(Debug)]
pub struct Worker<C: Clock = SystemClock> {
    server: ServerHandle,
    _ticker: Ticker,
    state: Context<WorkerState<C>>,
}

/// State that the requests to a worker share.
#[derive(Debug)]
pub(crate) struct WorkerState<C> {
    pub(crate) settings: WorkerSettings,
    pub(crate) clock: C,
    pub(crate) faults: WorkerFaults,
    table: Mutex<TaskTable>,
}

impl<C> WorkerState<C> {
    /// Locks the table of tasks.
    pub(crate) fn table(&self) -> MutexGuard<'_, TaskTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> Worker<C> {
    /// Starts a worker that records its runs in `log`, with the job's id as the id of
    /// the request.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if the server cannot listen on the address.
    pub async fn start(
        settings: WorkerSettings,
        log: RunLog,
        clock: C,
    ) -> Result<Worker<C>, Error> {
        let server = Server::bind(settings.addr, Limits::default()).await.context(StartSnafu)?;
        let table = Mutex::new(TaskTable::new(settings.clone(), log, clock.wall()));
        let faults = WorkerFaults::default();
        let server = server.with_gate(faults.gate().clone());
        let state = Context::new(WorkerState { settings, clock, faults, table });
        let server = server.start(routes(state.clone()));
        let ticker = Ticker(tokio::spawn(tick(state.clone())));
        Ok(Worker { server, _ticker: ticker, state })
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
    pub fn faults(&self) -> &WorkerFaults {
        &self.state.faults
    }

    /// Returns the current state of all tasks.
    pub fn tasks(&self) -> Vec<TaskStatus> {
        let now = self.state.clock.now();
        let mut table = self.state.table();
        table.advance(now);
        table.statuses()
    }

    /// Stops accepting connections, answers the requests that were received, and ends
    /// all tasks.
    pub async fn stop(self) {
        self.state.faults.set_hangs(false);
        self.server.stop().await;
        self.state.table().clear();
    }

    /// Closes all connections immediately and ends all tasks.
    pub async fn kill(self) {
        self.server.kill().await;
        self.state.table().clear();
    }
}

/// The background task that advances the worker's tasks. Dropping it stops it.
#[derive(Debug)]
struct Ticker(JoinHandle<()>);

impl Drop for Ticker {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn tick<C: Clock>(state: Context<WorkerState<C>>) {
    let mut period = interval(ADVANCE_PERIOD);
    loop {
        period.tick().await;
        let now = state.clock.now();
        state.table().advance(now);
    }
}

fn routes<C: Clock>(context: Context<WorkerState<C>>) -> Router {
    router(context, |route| {
        route.get("/tasks").to(handler(handlers::list::<C>));
        route.post("/tasks").to(handler(handlers::start::<C>));
        route
            .delete("/tasks/:id")
            .with_path_extractor::<IdPath>()
            .to(handler(handlers::forget::<C>));
        route
            .post("/tasks/:id/renew")
            .with_path_extractor::<IdPath>()
            .to(handler(handlers::renew::<C>));
        route
            .post("/tasks/:id/checkpoint")
            .with_path_extractor::<IdPath>()
            .to(handler(handlers::checkpoint::<C>));
        route
            .post("/tasks/:id/throttle")
            .with_path_extractor::<IdPath>()
            .to(handler(handlers::throttle::<C>));
        route
            .post("/tasks/:id/stop")
            .with_path_extractor::<IdPath>()
            .to(handler(handlers::stop::<C>));
        route.post("/lease").to(handler(handlers::lease::<C>));
        route
            .post("/jobs/:id/query")
            .with_path_extractor::<IdPath>()
            .to(handler(handlers::query::<C>));
        route.put("/faults").to(handler(handlers::set_faults::<C>));
    })
}
