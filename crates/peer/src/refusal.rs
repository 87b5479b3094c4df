//! Reasons why a member may not act.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why a member may not act on its rights, or may not admit work that carries a key.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AuthorityRefusal {
    /// The node is not a member, or it is fenced.
    #[snafu(display("this node is not a member"))]
    NotMember,
    /// The lease of the member has expired or was never granted.
    #[snafu(display("the lease has lapsed"))]
    LeaseExpired,
    /// The store is out of reach, and fewer than a majority of the voters report the same.
    #[snafu(display("the store is out of reach, {support} of {needed} needed nodes confirm it"))]
    NoQuorum {
        /// Number of voters that report the outage, this node included.
        support: usize,
        /// Number of voters that form a majority.
        needed: usize,
    },
    /// The store has been out of reach for longer than [`Timing::outage_max`].
    ///
    /// [`Timing::outage_max`]: crate::Timing::outage_max
    #[snafu(display("the store has been out of reach for too long"))]
    OutageTooLong,
    /// The configuration of this member is not confirmed to be the latest.
    #[snafu(display("revision {revision} can't be shown to be the latest"))]
    Stale {
        /// Revision that is in force on this member.
        revision: Revision,
    },
}
