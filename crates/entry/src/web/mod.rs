//! HTTP towards callers, operators and peers: routes and their handlers.
//!
//! Handlers only take a request apart and put an answer together; decisions
//! are made elsewhere.

mod calls;
mod context;
mod jobs;
mod paths;
mod peers;
mod routes;
mod status;

pub(crate) use routes::{caller_router, peer_router};
