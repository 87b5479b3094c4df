//! Errors of reading and changing the lists.

use snafu::Snafu;
use vg_base::prelude::*;
use vg_conf::Diagnostics;
use vg_conf::stored::StoredError;

/// Why the lists were not read or not changed. None of these changed anything.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RevisionError {
    /// The store failed before anything could have changed.
    #[snafu(display("{source}"))]
    Store {
        /// Cause.
        source: vg_store::Error,
    },
    /// The value in the store can't be read, or the new one not be stored.
    #[snafu(display("{source}"))]
    Value {
        /// Cause.
        source: StoredError,
    },
    /// The lists do not pass the checks.
    #[snafu(display("{diagnostics}"))]
    Invalid {
        /// All that is wrong.
        diagnostics: Diagnostics,
    },
    /// The store's lists are older than the change was made from.
    #[snafu(display("the store has revision {found}, older than the base {base}"))]
    OlderRevision {
        /// The revision in the store.
        found: Revision,
        /// The revision that the change was made from.
        base: Revision,
    },
}
