//! Endpoints, receipts and retries of a pool, as managed by the entry host that owns
//! the pool.
//!
//! [`Endpoints`] counts each instance's slots and connections exactly, balances
//! the load and ejects endpoints that fail. [`Receipts`] ensures that the request
//! of an idempotency key runs at most once, also when the pool gets another owner.
//! [`RetryBudget`] limits retries in proportion to successes. Nothing in this crate
//! does I/O or reads a clock.

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
