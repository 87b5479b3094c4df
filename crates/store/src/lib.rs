//! The platform's key-value service: trait, memory and HTTP adapters.
//!
//! What must last lives here and nowhere else. The service has compare-and-swap
//! transactions, leases and watches; it may be down or slow, and an answer may
//! be lost after its write has taken effect.

mod api;
mod error;

pub use api::{
    Change, Compare, Entry, Key, LeaseId, Listing, Put, Store, StoreRevision, Txn, TxnOutcome,
    Value, Watch, WatchBatch,
};
pub use error::Error;
