//! Errors of the journal.

use snafu::Snafu;
use vg_base::prelude::*;

/// Reason why a pool's journal can't be taken over or written.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum JournalError {
    /// The head can't be decoded. It is left unchanged, and the pool has no owner.
    #[snafu(display("the head of pool {pool} can't be read: {reason}"))]
    Head {
        /// The pool.
        pool: PoolId,
        /// What is wrong with the head.
        reason: SmolStr,
    },
    /// Another member owns the pool.
    #[snafu(display("pool {pool} is owned by {holder}"))]
    Held {
        /// The pool.
        pool: PoolId,
        /// The owner.
        holder: SmolStr,
    },
    /// A change is too large to encode.
    #[snafu(display("a change can't be encoded: {reason}"))]
    Encode {
        /// Message of the encoder.
        reason: SmolStr,
    },
}
