//! Receipts, which record the state of the single run of each idempotency key.
//!
//! A receipt is created before a call may be written to an endpoint. It ends with
//! the complete answer or as *unknown*; it is removed early only if the call
//! provably did not run. The pool's owner decides by its receipts. The entry host
//! that a call came through stores a copy before it forwards the call, so that the
//! receipt survives the loss of either host.

mod answer;
mod begin;
mod limits;
mod loss;
mod name;
mod receipt;
mod rejected;
mod request;
mod table;

pub use answer::{Answer, Header};
pub use begin::BeginOutcome;
pub use limits::ReceiptLimits;
pub use loss::MemberLoss;
pub use name::{Fingerprint, ReceiptName, RequestKey};
pub use receipt::{Attempts, Receipt, ReceiptKey, ReceiptState};
pub use request::KeyedRequest;
pub use table::Receipts;
