//! Requests to entry hosts, and their status.

mod nodes;
mod progress;
mod status;

pub(crate) use nodes::{NodeAnswer, NodeClient};
pub(crate) use progress::Progress;
pub(crate) use status::Status;
