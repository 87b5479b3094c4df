//! Errors of the book.

use snafu::Snafu;
use vg_base::prelude::*;
use vg_limit::LedgerError;

/// Why the book can't be read or refuses a transition.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BookError {
    /// The value was written by a newer program.
    #[snafu(display("the book has format {found}, this program reads up to {known}"))]
    Newer {
        /// Format of the value.
        found: u8,
        /// Latest format that can be read.
        known: u8,
    },
    /// The value is not a book.
    #[snafu(display("the book can't be read: {reason}"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
    /// The member is not in the book.
    #[snafu(display("{member} is not in the book"))]
    Unknown {
        /// The member.
        member: Member,
    },
    /// This or a later incarnation of the node has joined before.
    #[snafu(display("{member} is not later than incarnation {known}"))]
    Superseded {
        /// The member that wants to join.
        member: Member,
        /// The latest incarnation that joined.
        known: Incarnation,
    },
    /// The member's state doesn't allow the transition.
    #[snafu(display("the state of {member} does not allow this"))]
    State {
        /// The member.
        member: Member,
    },
    /// The member still owns a pool.
    #[snafu(display("{member} owns {pool}"))]
    Owns {
        /// The member.
        member: Member,
        /// The pool.
        pool: PoolId,
    },
    /// The pool is not the member's to hand over.
    #[snafu(display("{by} can't hand over {pool}"))]
    NotOwner {
        /// The pool.
        pool: PoolId,
        /// The member.
        by: Member,
    },
    /// The voters have changed since the evidence was gathered.
    #[snafu(display("the voters are of epoch {known}, not {offered}"))]
    Voters {
        /// Epoch of the voters that the proposer had.
        offered: Epoch,
        /// Epoch of the voters in the book.
        known: Epoch,
    },
    /// The transition would change nothing.
    #[snafu(display("nothing to change"))]
    NoChange,
    /// The change of units is refused.
    #[snafu(context(false), display("{source}"))]
    Units {
        /// Why.
        source: LedgerError,
    },
}
