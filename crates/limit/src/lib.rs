//! Upper limits of teams as units held by nodes.
//!
//! A team may run as many calls and job slots at once as it has units. The
//! [`PermitLedger`], a part of one value in the store, splits each limit into
//! grants to members; a [`MemberPermits`] is one member's account of what it holds
//! and runs. Units move between live members without the store, by cumulative
//! counters in the messages that they exchange anyway, so that a message that
//! is lost, doubled, late or out of order never doubles a unit.

mod account;
mod balance;
mod change;
mod error;
pub mod faults;
mod hint;
mod holding;
mod member_permits;
mod pair;
mod permit_ledger;
mod refusal;
mod request;
mod run;
mod transfers;

pub use account::Account;
pub use balance::Balance;
pub use change::{GrantAdjustment, LedgerChange, Settlement};
pub use error::LedgerError;
pub use hint::PermitHint;
pub use holding::Holding;
pub use member_permits::MemberPermits;
pub use permit_ledger::PermitLedger;
pub use refusal::LimitRefusal;
pub use request::{PermitReply, PermitRequest};
pub use run::{Run, RunKey};
pub use transfers::TransferCounters;
