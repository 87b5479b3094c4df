//! Errors of encoding and decoding stored lists.

use snafu::Snafu;
use vg_base::prelude::*;

use crate::Diagnostics;
use crate::stored::MAX_VALUE_BYTES;

/// The reason why lists can't be stored or a stored value is not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoredError {
    /// The value can't be encoded or decoded.
    #[snafu(display("the stored lists can't be read: {reason}"))]
    Malformed {
        /// The message of the encoder or decoder.
        reason: String,
    },
    /// The lists in the value are not valid.
    #[snafu(display(
        "the stored lists of revision {revision} do not pass the checks:\n{diagnostics}"
    ))]
    Invalid {
        /// Revision of the lists.
        revision: Revision,
        /// What is wrong with the lists.
        diagnostics: Diagnostics,
    },
    /// The revision is older than one that was already in force.
    #[snafu(display("revision {found} is older than revision {known}, which was in force"))]
    OlderRevision {
        /// The rejected revision.
        found: Revision,
        /// The newest known revision.
        known: Revision,
    },
    /// The same revision is already known as another change.
    #[snafu(display(
        "revision {revision} is already known as change {known}, but this value is change {found}"
    ))]
    ConflictingChange {
        /// The revision.
        revision: Revision,
        /// The change that is known for the revision.
        known: super::ChangeId,
        /// The change in the rejected value.
        found: super::ChangeId,
    },
    /// The lists are too large for one value.
    #[snafu(display("the lists take {size} bytes, at most {MAX_VALUE_BYTES} can be stored"))]
    TooLarge {
        /// Size of the encoded lists in bytes.
        size: usize,
    },
}
