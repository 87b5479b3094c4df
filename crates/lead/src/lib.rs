//! An entry host that shares one store with its peers.
//!
//! Any host accepts jobs, cancellations and queries; what it acknowledges is
//! durable in the store. One host at a time leads: it makes decisions with a
//! [`Scheduler`](vg_flow::Scheduler) and sends commands to workers and
//! machines. The leadership is a key under a lease; the fencing token is the
//! store revision at which the leadership was taken; calls to a worker that has
//! started again carry that of its record. Design:
//! docs/design/platform.md.

mod admit;
mod cancel;
mod capacity;
mod client_gauges;
mod codec;
mod delay;
mod election;
mod error;
mod follow;
mod host;
mod keys;
mod leader;
mod learned_gauges;
mod load;
mod members;
mod messages;
mod metrics;
mod options;
mod peers;
mod platform;
mod probe;
mod query;
mod retry;
mod serve;
mod session;
mod store_gauges;
mod submit;
mod team_gauges;
mod unresolved;
mod wait_gauges;
mod zone_drains;
mod zone_gauges;

pub use capacity::HostCapacity;
pub use error::StartError;
pub use host::{Host, HostTasks};
pub use metrics::Metrics;
pub use options::Options;
pub use platform::{CommandAnswer, KeyLayout, OperatorItem, ParseError, Platform, PollError};
pub use query::{CancelOutcome, JobStatus, PendingCount};
pub use submit::SubmitOutcome;
