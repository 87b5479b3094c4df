//! Errors of the cluster state.

use snafu::Snafu;
use vg_base::prelude::*;
use vg_limit::LedgerError;

/// Why the cluster state can't be decoded or refuses a transition.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ClusterStateError {
    /// The value was written by a newer version of the program.
    #[snafu(display("the book has format {found}, this program reads up to {known}"))]
    Newer {
        /// Format number of the value.
        found: u8,
        /// Latest format number that this program can read.
        known: u8,
    },
    /// The value is not a cluster state.
    #[snafu(display("the book can't be read: {reason}"))]
    Malformed {
        /// What is wrong with the value.
        reason: String,
    },
    /// The member is not in the cluster state.
    #[snafu(display("{member} is not in the book"))]
    UnknownMember {
        /// The member.
        member: Member,
    },
    /// This or a later incarnation of the node has joined already.
    #[snafu(display("{member} is not later than incarnation {known}"))]
    Superseded {
        /// The member that tries to join.
        member: Member,
        /// The latest incarnation of the node that has joined.
        known: Incarnation,
    },
    /// The state of the member doesn't allow the transition.
    #[snafu(display("the state of {member} does not allow this"))]
    WrongState {
        /// The member.
        member: Member,
    },
    /// The member still owns a pool.
    #[snafu(display("{member} owns {pool}"))]
    StillOwner {
        /// The member.
        member: Member,
        /// The pool.
        pool: PoolId,
    },
    /// The member can't hand the pool over because it is not the owner.
    #[snafu(display("{by} can't hand over {pool}"))]
    NotOwner {
        /// The pool.
        pool: PoolId,
        /// The member.
        by: Member,
    },
    /// The voters have changed since the proposer counted their acknowledgements.
    #[snafu(display("the voters are of epoch {known}, not {offered}"))]
    VotersChanged {
        /// Epoch of the voters that the proposer knew.
        offered: Epoch,
        /// Epoch of the voters in the cluster state.
        known: Epoch,
    },
    /// The transition would change nothing.
    #[snafu(display("nothing to change"))]
    NoChange,
    /// The change of permits is refused.
    #[snafu(context(false), display("{source}"))]
    Ledger {
        /// The reason.
        source: LedgerError,
    },
}
