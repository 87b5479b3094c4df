//! A store in memory with the semantics of the platform's service.

mod history;
mod lease;
mod store;
mod table;
mod watch;

pub use store::MemStore;
pub use watch::MemWatch;
