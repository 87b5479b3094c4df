//! Stand-in for the platform's key-value store, which serves the JSON gateway of
//! etcd v3.

mod convert;
mod faults;
mod handlers;
mod server;
mod stream;

pub use faults::{FaultKind, ScriptedFault, StoreFaultsRequest};
pub use server::StoreServer;
