//! Changing the lists in the store.
//!
//! A change is one compare-and-swap of both lists against the revision that
//! the operator edited. It is marked by a [`ChangeId`](vg_conf::ChangeId), so that an attempt
//! whose answer was lost is settled by looking for its mark. When the mark is
//! not there, the same value is written once more before "not stored" is said:
//! a delayed first attempt then finds another store revision and can't take
//! effect any more.

mod current;
mod error;
mod proposal;
mod revisions;
mod settle;
mod settlement;

pub use current::Current;
pub use error::RevisionError;
pub use proposal::Proposal;
pub use revisions::Revisions;
pub use settlement::{Settlement, Verdict};
