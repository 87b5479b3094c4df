//! Upper limits of teams as units held by nodes.
//!
//! A team may run as many calls and job slots at once as it has units. The
//! [`UnitBook`], a part of one value in the store, splits each limit into
//! grants to members; a [`Ledger`] is one member's account of what it holds
//! and runs. Units move between live members without the store, by cumulative
//! counters in the messages that they exchange anyway, so that a message that
//! is lost, doubled, late or out of order never doubles a unit.

mod account;
mod advice;
mod balance;
mod change;
mod error;
pub mod faults;
mod holding;
mod ledger;
mod pair;
mod refusal;
mod request;
mod run;
mod transfers;
mod unit_book;

pub use account::Account;
pub use advice::TeamAdvice;
pub use balance::Balance;
pub use change::{Adjust, Settle, UnitChange};
pub use error::UnitError;
pub use holding::Holding;
pub use ledger::Ledger;
pub use refusal::LimitRefusal;
pub use request::{UnitReply, UnitRequest};
pub use run::{Run, RunKey};
pub use transfers::Transfers;
pub use unit_book::UnitBook;
