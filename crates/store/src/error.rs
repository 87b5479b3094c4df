//! Errors of store calls.

use snafu::Snafu;

use crate::StoreRevision;

/// Why a store call has no result.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The store was not reached, or refused the call because there were too many calls. The
    /// call had no effect.
    #[snafu(display("the store cannot be reached: {reason}"))]
    Unavailable {
        /// Description of the failed connection or call.
        reason: String,
    },
    /// The call may have taken effect; its answer was lost.
    #[snafu(display("the store's answer was lost, the call may have taken effect: {reason}"))]
    AnswerLost {
        /// Description of the failed connection or call.
        reason: String,
    },
    /// The lease has expired, was revoked, or never existed.
    #[snafu(display("the lease has lapsed"))]
    LeaseExpired,
    /// The watch asked for revisions that the store has compacted; list the keys again.
    #[snafu(display("revisions below {oldest} are compacted"))]
    Compacted {
        /// Oldest revision from which a watch can start.
        oldest: StoreRevision,
    },
    /// The store refused the call as malformed or too large.
    #[snafu(display("the store refused the call: {reason}"))]
    Refused {
        /// The reason that the store gave.
        reason: String,
    },
    /// The answer can't be decoded. The call may have taken effect.
    #[snafu(display("malformed answer of the store: {reason}"))]
    Malformed {
        /// What is wrong with the answer.
        reason: String,
    },
}

impl Error {
    /// Whether it is certain that the call had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Error::AnswerLost { .. } | Error::Malformed { .. })
    }
}
