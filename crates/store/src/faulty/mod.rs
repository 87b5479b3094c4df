//! Fault injection between one node and its store, for tests and stand-ins of the service.

mod call_counts;
mod call_kind;
mod control;
mod fault;
mod odds;
mod rate_limits;
mod store;
mod watch;
mod watch_state;

pub use call_counts::CallCounts;
pub use call_kind::CallKind;
pub use control::FaultControl;
pub use fault::Fault;
pub use odds::FaultOdds;
pub use rate_limits::RateLimits;
pub use store::FaultyStore;
pub use watch::FaultyWatch;
