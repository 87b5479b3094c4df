//! The lists as the store holds them.

mod change;
mod error;
mod value;

pub use change::ChangeId;
pub use error::StoredError;
pub use value::StoredLists;

use vg_base::prelude::*;

/// Store key of the lists in force. One value, so that both lists change together.
pub const LISTS_KEY: &str = "vg/config/lists";

/// Prefix of the store keys of earlier revisions.
pub const HISTORY_PREFIX: &str = "vg/config/history/";

/// Earlier revisions that are kept.
pub const HISTORY_REVISIONS: u64 = 50;

/// Most bytes of a stored value. A transaction writes it twice, under
/// [`LISTS_KEY`] and into the history, and etcd takes 1.5 MiB in one.
pub const MAX_VALUE_BYTES: usize = 700_000;

/// Returns the store key of a revision; keys sort by revision.
pub fn history_key(revision: Revision) -> String {
    format!("{HISTORY_PREFIX}{:020}", revision.get())
}
