//! HTTP routes and handlers for callers, operators and peers.
//!
//! Handlers only parse requests and build responses; decisions are made elsewhere.

mod calls;
mod context;
mod jobs;
mod paths;
mod peers;
mod routes;
mod status;

pub(crate) use routes::{caller_router, peer_router};
