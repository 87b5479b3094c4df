//! A pool's endpoints, receipts and retries, as its owner decides on them.
//!
//! [`Endpoints`] counts each instance's slots and connections exactly, spreads
//! the load and ejects what fails. [`Receipts`] sees to it that a key runs at
//! most once, also over a change of owner. [`RetryBudget`] bounds retries in
//! proportion to successes. Nothing here does I/O or has a clock of its own.

mod endpoints;
mod receipts;
mod retry;

pub use endpoints::{
    Applied, Busy, CallResult, Change, EndpointInfo, EndpointKey, EndpointStats, Endpoints, Health,
    ListRevision, Probing, Slot, SlotKey,
};
pub use receipts::{
    Answer, Attempts, Begin, Bounds, Fingerprint, Header, KeyName, Loss, Name, Receipt, ReceiptKey,
    ReceiptState, Receipts, Request,
};
pub use retry::{Retry, RetryBudget, RetryRequest};
