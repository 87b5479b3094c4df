//! Reasons for which a run is refused.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why a run may not start at this member at this time.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum LimitRefusal {
    /// The operators' lists do not name the team, or its limit is zero.
    #[snafu(display("{team} has no upper limit in force"))]
    NoLimit {
        /// The team.
        team: TeamId,
    },
    /// More permits are granted over all members than a lowered limit allows.
    #[snafu(display("the lowered limit of {team} is not yet reached"))]
    OverLimit {
        /// The team.
        team: TeamId,
    },
    /// This member holds too few idle permits.
    #[snafu(display("{wanted} units of {team} wanted, {idle} are idle here"))]
    InsufficientPermits {
        /// The team.
        team: TeamId,
        /// Permits wanted.
        wanted: Permits,
        /// Permits that are idle at this member.
        idle: Permits,
    },
    /// This member has no account in the permit ledger, or its account is closed.
    #[snafu(display("this member has no open account"))]
    NotMember,
}
