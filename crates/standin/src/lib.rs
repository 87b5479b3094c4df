//! Stand-ins of the platform: store, host list, endpoints and workers.
//!
//! All of them run in process on loopback, for tests and the demo, and as a
//! program for trials. Each has a handle that steers its faults. A [`RunLog`]
//! records what really ran, which is what tests compare promises with.

mod command;
mod endpoint;
mod error;
pub mod headers;
mod hosts;
mod runs;
mod simulated;
mod site;
mod store;
mod web;
mod worker;

pub use command::{SiteSettings, command};
pub use endpoint::{
    Endpoint, EndpointCounts, EndpointFaults, EndpointFaultsRequest, EndpointMode, EndpointSettings,
};
pub use error::Error;
pub use hosts::{Host, HostKind, HostListServer, HostState, HostsResponse};
pub use runs::{Run, RunGuard, RunLabel, RunLog};
pub use simulated::{SimulatedWorker, TaskAttempt};
pub use site::{Site, run};
pub use store::{FaultKind, ScriptedFault, StoreFaultsRequest, StoreServer};
pub use worker::{
    Capacity, LeaseRequest, QueryRequest, RenewRequest, TaskError, TaskSpec, TaskState, TaskStatus,
    TasksResponse, ThrottleRequest, Worker, WorkerFaults, WorkerFaultsRequest, WorkerSettings,
};
