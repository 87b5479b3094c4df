//! Reading and changing the lists in the store.
//!
//! A change is one compare-and-swap of both lists against the revision that the
//! operator edited. It carries a [`ChangeId`](vg_conf::ChangeId). If the store's
//! answer to a change was lost, a search for this id resolves whether the change
//! took effect. If the id is not found, the current value is written once more
//! before the change is reported as not stored: the first write may only be
//! delayed, and it then finds another store revision and can't take effect.

mod current;
mod error;
mod outcome;
mod proposal;
mod resolve;
mod revisions;

pub use current::Current;
pub use error::RevisionError;
pub use outcome::{ApplyOutcome, Resolution};
pub use proposal::Proposal;
pub use revisions::Revisions;
