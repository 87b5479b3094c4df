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
    BusySlots, CallResult, EndpointChange, EndpointInfo, EndpointKey, EndpointStats, Endpoints,
    Health, ListRevision, ListUpdate, ProbePolicy, Slot, SlotKey,
};
pub use receipts::{
    Answer, Attempts, BeginOutcome, Fingerprint, Header, KeyedRequest, MemberLoss, Receipt,
    ReceiptKey, ReceiptLimits, ReceiptName, ReceiptState, Receipts, RequestKey,
};
pub use retry::{RetryBudget, RetryDecision, RetryRequest};
