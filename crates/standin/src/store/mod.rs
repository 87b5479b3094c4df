//! Stand-in of the platform's key-value service.

mod convert;
mod faults;
mod handlers;
mod server;
mod stream;

pub use faults::{FaultKind, ScriptedFault, StoreFaultsRequest};
pub use server::StoreServer;
