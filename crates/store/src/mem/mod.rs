//! An in-memory store with the semantics of the platform's key-value service.

mod history;
mod lease;
mod store;
mod table;
mod watch;

pub use store::MemStore;
pub use watch::MemWatch;
