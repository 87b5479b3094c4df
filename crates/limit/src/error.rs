//! Errors of changes of the book.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why the book refuses a change.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum LedgerError {
    /// The member has no account.
    #[snafu(display("{member} has no account"))]
    NoAccount {
        /// The member.
        member: Member,
    },
    /// The account is closed.
    #[snafu(display("the account of {member} is closed"))]
    Closed {
        /// The member.
        member: Member,
    },
    /// The account is open, and the change needs a closed one.
    #[snafu(display("the account of {member} is open"))]
    Open {
        /// The member.
        member: Member,
    },
    /// The member already has an account.
    #[snafu(display("{member} already has an account"))]
    Exists {
        /// The member.
        member: Member,
    },
    /// The adjustment has taken effect before.
    #[snafu(display("adjustment {serial} of {member} is in the book"))]
    Repeated {
        /// The member.
        member: Member,
        /// The serial number.
        serial: u64,
    },
    /// Fewer units are free than wanted.
    #[snafu(display("{wanted} units of {team} wanted, {free} are free"))]
    NotFree {
        /// The team.
        team: TeamId,
        /// Units wanted.
        wanted: Units,
        /// Units that are free.
        free: Units,
    },
    /// The member has settled with this closed account before.
    #[snafu(display("{by} has settled with {dead}"))]
    Settled {
        /// The member that settles.
        by: Member,
        /// The closed account.
        dead: Member,
    },
    /// The account can't be reclaimed without another that it may have
    /// exchanged units with.
    #[snafu(display("{dead} is not settled with {with}"))]
    Unsettled {
        /// The closed account.
        dead: Member,
        /// The other member.
        with: Member,
    },
    /// The lists are older than those in the book.
    #[snafu(display("limits of revision {offered} offered, the book has {known}"))]
    Older {
        /// Revision offered.
        offered: Revision,
        /// Revision in the book.
        known: Revision,
    },
}
