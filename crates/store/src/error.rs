//! Errors of store calls.

use snafu::Snafu;

use crate::StoreRevision;

/// Why a store call gave no result.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The store was not reached: the call had no effect.
    #[snafu(display("the store cannot be reached: {reason}"))]
    Unavailable {
        /// What the connection said.
        reason: String,
    },
    /// The call may have taken effect; its answer was lost.
    #[snafu(display("the store's answer was lost, the call may have taken effect: {reason}"))]
    AnswerLost {
        /// What the connection said.
        reason: String,
    },
    /// The lease does not exist (any more).
    #[snafu(display("the lease has lapsed"))]
    LeaseExpired,
    /// The watch asked for revisions that the store no longer has; list anew.
    #[snafu(display("revisions below {oldest} are compacted"))]
    Compacted {
        /// Oldest revision that can be watched from.
        oldest: StoreRevision,
    },
    /// The store refused the call as malformed or too large.
    #[snafu(display("the store refused the call: {reason}"))]
    Refused {
        /// What the store said.
        reason: String,
    },
    /// The answer can't be understood.
    #[snafu(display("malformed answer of the store: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

impl Error {
    /// Whether the call is proved to have had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Error::AnswerLost { .. } | Error::Malformed { .. })
    }
}
