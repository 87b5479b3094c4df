//! Stand-in for a worker, the host that executes tasks.

mod capacity;
mod error;
mod faults;
mod handlers;
mod server;
mod settings;
mod spec;
mod status;
mod table;
mod task;

pub use capacity::Capacity;
pub use error::TaskError;
pub use faults::{WorkerFaults, WorkerFaultsRequest};
pub use server::Worker;
pub use settings::WorkerSettings;
pub use spec::{LeaseRequest, QueryRequest, RenewRequest, TaskSpec, ThrottleRequest};
pub use status::{TaskState, TaskStatus, TasksResponse};
