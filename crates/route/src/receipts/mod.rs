//! Receipts: what is known of the one run of each key.
//!
//! A receipt is made before a call may be written to an endpoint, and ends as
//! the whole answer, or as *unknown*. Only a call that is proved *not run*
//! gives its receipt up. The pool's owner decides by its receipts; the entry
//! host that a call came through keeps a copy from before it forwards the call,
//! so that the loss of either does not lose the knowledge.

mod answer;
mod begin;
mod bounds;
mod loss;
mod name;
mod receipt;
mod request;
mod spent;
mod table;

pub use answer::{Answer, Header};
pub use begin::BeginOutcome;
pub use bounds::ReceiptLimits;
pub use loss::MemberLoss;
pub use name::{Fingerprint, ReceiptName, RequestKey};
pub use receipt::{Attempts, Receipt, ReceiptKey, ReceiptState};
pub use request::KeyedRequest;
pub use table::Receipts;
