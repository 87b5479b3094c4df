//! Stand-in for the platform's host list.

mod host;
mod lagging;
mod server;

pub use host::{Host, HostKind, HostState, HostsResponse};
pub use server::HostListServer;
