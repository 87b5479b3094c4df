//! Upper limits of teams, enforced by permits that members hold.
//!
//! A team may use as many calls and job slots at once as it has permits. The
//! [`PermitLedger`], a part of the cluster state in the store, splits each limit
//! into grants to members. A [`MemberPermits`] tracks what one member holds and
//! uses. Permits move between live members without a write to the store, by
//! cumulative counters in the messages that members exchange anyway. A message
//! that is lost, duplicated, delayed or reordered therefore never duplicates a
//! permit.

mod account;
mod balance;
mod change;
mod error;
pub mod faults;
mod hint;
mod holding;
mod member_permits;
mod peer_counters;
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
