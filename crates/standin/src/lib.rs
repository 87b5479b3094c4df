//! Stand-ins for the services of the platform: the key-value store, the host
//! list, endpoints and workers.
//!
//! They serve HTTP on loopback, in the process of a test or of the demo, or as
//! the program `verbenagap-standin` for trials. Each stand-in has a handle that
//! injects faults. A [`RunLog`] records what was actually executed, so that
//! tests can check the guarantees of the system against it.

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
