//! Errors of the journal.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why a pool's journal can't be taken over.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JournalError {
    /// The head can't be read. It stays as it is, and the pool has no owner.
    #[snafu(display("the head of pool {pool} can't be read: {reason}"))]
    Head {
        /// The pool.
        pool: PoolId,
        /// What is wrong with it.
        reason: SmolStr,
    },
    /// Another member holds the pool.
    #[snafu(display("pool {pool} is held by {holder}"))]
    Held {
        /// The pool.
        pool: PoolId,
        /// Its holder.
        holder: SmolStr,
    },
    /// A change is too large to encode.
    #[snafu(display("a change can't be encoded: {reason}"))]
    Encode {
        /// What the codec said.
        reason: SmolStr,
    },
}
