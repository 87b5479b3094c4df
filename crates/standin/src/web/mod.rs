//! What the stand-ins' HTTP servers have in common.

mod context;
mod exchange;
mod problem;
mod reply;
mod router;

pub(crate) use context::Context;
pub(crate) use exchange::{Exchange, IdPath, handle};
pub(crate) use problem::Problem;
pub(crate) use reply::{Reply, json, json_as, torn};
pub(crate) use router::router;
