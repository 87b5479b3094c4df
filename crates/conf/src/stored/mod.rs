//! The form in which the store holds the lists: keys, values and history.

mod change;
mod error;
mod value;

pub use change::ChangeId;
pub use error::StoredError;
pub use value::StoredLists;

use vg_base::prelude::*;

/// Store key of the newest revision. Both lists are in one value, so that they
/// change together.
pub const LISTS_KEY: &str = "vg/config/lists";

/// Prefix of the store keys of the history, which holds the newest revision, too.
pub const HISTORY_PREFIX: &str = "vg/config/history/";

/// Number of revisions that the history keeps, the newest one included.
pub const HISTORY_REVISIONS: u64 = 50;

/// Largest stored value in bytes. A transaction writes the value twice, under
/// [`LISTS_KEY`] and into the history, and etcd accepts 1.5 MiB per transaction.
pub const MAX_VALUE_BYTES: usize = 700_000;

/// Returns the store key of a revision in the history. Keys sort by revision.
pub fn history_key(revision: Revision) -> String {
    format!("{HISTORY_PREFIX}{:020}", revision.get())
}
