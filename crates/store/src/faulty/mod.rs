//! Faults between one node and its store, for tests and stand-ins.

mod call;
mod counts;
mod fault;
mod faults;
mod odds;
mod rates;
mod signal;
mod store;
mod watch;

pub use call::Call;
pub use counts::Counts;
pub use fault::Fault;
pub use faults::Faults;
pub use odds::Odds;
pub use rates::Rates;
pub use store::FaultyStore;
pub use watch::FaultyWatch;
