//! Entry hosts as the command line sees them.

mod nodes;
mod progress;
mod status;

pub(crate) use nodes::{Nodes, View};
pub(crate) use progress::Progress;
pub(crate) use status::Status;
