//! Errors of changes of the permit ledger.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why the permit ledger refuses a change.
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
    AccountClosed {
        /// The member.
        member: Member,
    },
    /// The account is open, and the change needs a closed account.
    #[snafu(display("the account of {member} is open"))]
    AccountOpen {
        /// The member.
        member: Member,
    },
    /// The member already has an account.
    #[snafu(display("{member} already has an account"))]
    AccountExists {
        /// The member.
        member: Member,
    },
    /// The adjustment, or a later one of the same member, has already taken
    /// effect.
    #[snafu(display("adjustment {serial} of {member} is already in the ledger"))]
    DuplicateAdjustment {
        /// The member.
        member: Member,
        /// The serial number.
        serial: u64,
    },
    /// Fewer permits are ungranted than the member wants.
    #[snafu(display("{wanted} permits of {team} wanted, {free} are not granted"))]
    InsufficientPermits {
        /// The team.
        team: TeamId,
        /// Permits wanted.
        wanted: Permits,
        /// Permits that are granted to no member.
        free: Permits,
    },
    /// The member has already settled with this closed account.
    #[snafu(display("{member} has already settled with {closed}"))]
    AlreadySettled {
        /// The member that settles.
        member: Member,
        /// The closed account.
        closed: Member,
    },
    /// The closed account can only be reclaimed together with another closed
    /// account, because transfers between the two are not settled.
    #[snafu(display("{closed} is not settled with {peer}; both must be reclaimed together"))]
    Unsettled {
        /// The closed account.
        closed: Member,
        /// The member of the other account.
        peer: Member,
    },
    /// The limits are older than those in the ledger.
    #[snafu(display("limits of revision {offered} are older than revision {known} in the ledger"))]
    StaleLimits {
        /// Revision of the refused limits.
        offered: Revision,
        /// Revision of the limits in the ledger.
        known: Revision,
    },
}
