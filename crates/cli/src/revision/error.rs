//! Errors of reading and changing the lists.

use snafu::Snafu;
use vg_base::prelude::*;
use vg_conf::Diagnostics;
use vg_conf::stored::StoredError;

/// The reason why the lists were not read or not changed. With any of these errors,
/// nothing was changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RevisionError {
    /// The store failed before anything could have changed.
    #[snafu(display("{source}"))]
    Store {
        /// The cause.
        source: vg_store::Error,
    },
    /// The value in the store can't be decoded, or the new one can't be stored.
    #[snafu(display("{source}"))]
    Value {
        /// The cause.
        source: StoredError,
    },
    /// The new lists are not valid.
    #[snafu(display("{diagnostics}"))]
    Invalid {
        /// What is wrong with the lists.
        diagnostics: Diagnostics,
    },
    /// The lists in the store are older than the base of the change.
    #[snafu(display("the store has revision {found}, older than the base {base}"))]
    OlderRevision {
        /// The revision in the store.
        found: Revision,
        /// The revision that the change was made from.
        base: Revision,
    },
}
