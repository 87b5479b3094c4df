//! Request handling that the HTTP servers of all stand-ins share.

mod context;
mod exchange;
mod problem;
mod reply;
mod router;

pub(crate) use context::Context;
pub(crate) use exchange::{Exchange, IdPath, handler};
pub(crate) use problem::Problem;
pub(crate) use reply::{Reply, aborted_response, json, json_with_status};
pub(crate) use router::router;
