//! An entry host that shares one store with its peers.
//!
//! Any host takes jobs, cancellations and questions; what it acknowledges is in
//! the store. One host at a time leads: it decides with a
//! [`Scheduler`](vg_flow::Scheduler) and gives orders to workers and machines. Leadership
//! is a leased key; its fence is the store's revision at which it was taken.
//! Design: docs/design/platform.md.

mod ask;
mod cancel;
mod codec;
mod error;
mod follow;
mod host;
mod keys;
mod leader;
mod mark;
mod members;
mod messages;
mod metrics;
mod options;
mod peers;
mod platform;
mod retry;
mod serve;
mod session;
mod submit;
mod unsettled;

pub use ask::{CancelOutcome, JobStatus, PendingCount};
pub use error::StartError;
pub use host::{Host, HostTasks};
pub use metrics::Metrics;
pub use options::Options;
pub use platform::{
    AdviserAnswer, CommandAnswer, KeyLayout, OperatorItem, ParseError, Platform, PollError,
};
pub use submit::SubmitOutcome;
