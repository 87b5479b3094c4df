//! Why a run may not start.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why a run may not start here and now.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum LimitRefusal {
    /// The lists know no such team, or it may run nothing.
    #[snafu(display("{team} has no upper limit in force"))]
    NoLimit {
        /// The team.
        team: TeamId,
    },
    /// More is granted than a lowered limit allows.
    #[snafu(display("the lowered limit of {team} is not yet reached"))]
    OverLimit {
        /// The team.
        team: TeamId,
    },
    /// This member holds too few idle units.
    #[snafu(display("{wanted} units of {team} wanted, {idle} are idle here"))]
    NoUnits {
        /// The team.
        team: TeamId,
        /// Units wanted.
        wanted: Units,
        /// Units that are idle here.
        idle: Units,
    },
    /// This member is not in the book, or its account is closed.
    #[snafu(display("this member has no open account"))]
    NotMember,
}
