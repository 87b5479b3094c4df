//! The platform's key-value service: a trait, an in-memory store and an HTTP adapter.
//!
//! All durable state is kept in this service and nowhere else. The service has
//! compare-and-swap transactions, leases and watches. It may be down or slow, and an
//! answer may be lost after its write has taken effect.

mod api;
mod error;
mod etcd;
mod faulty;
mod limits;
mod mem;
pub mod monitor;

pub use api::{
    Change, Compare, Entry, Key, LeaseId, Listing, Put, Store, StoreRevision, Txn, TxnOutcome,
    Value, Watch, WatchBatch,
};
pub use error::Error;
pub use etcd::{EtcdSettings, EtcdStore, EtcdWatch, wire};
pub use faulty::{
    CallCounts, CallKind, Fault, FaultControl, FaultOdds, FaultyStore, FaultyWatch, RateLimits,
};
pub use limits::{TXN_MAX_BYTES, TXN_MAX_OPS, VALUE_MAX_BYTES};
pub use mem::{MemStore, MemWatch};
