//! Errors of the stored lists.

use snafu::Snafu;
use vg_base::prelude::*;

use crate::Diagnostics;
use crate::stored::MAX_VALUE_BYTES;

/// Why a stored value is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoredError {
    /// The bytes are not a stored value.
    #[snafu(display("the stored lists can't be read: {reason}"))]
    Malformed {
        /// What the decoder said.
        reason: String,
    },
    /// The lists in the value do not pass the checks.
    #[snafu(display(
        "the stored lists of revision {revision} do not pass the checks:\n{diagnostics}"
    ))]
    Invalid {
        /// Their revision.
        revision: Revision,
        /// What is wrong with them.
        diagnostics: Diagnostics,
    },
    /// The revision is older than one that was in force already.
    #[snafu(display("revision {found} is older than revision {known}, which was in force"))]
    OlderRevision {
        /// The refused revision.
        found: Revision,
        /// The newest revision known.
        known: Revision,
    },
    /// The same revision is known with other lists.
    #[snafu(display("revision {revision} is known as change {known}, this is change {found}"))]
    ConflictingChange {
        /// The revision.
        revision: Revision,
        /// The change that it was known as.
        known: super::ChangeId,
        /// The change that was found.
        found: super::ChangeId,
    },
    /// The lists are too large for one value.
    #[snafu(display("the lists take {size} bytes of at most {MAX_VALUE_BYTES}"))]
    TooLarge {
        /// Their size.
        size: usize,
    },
}
