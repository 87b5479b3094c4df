//! Why a member may not act.

use snafu::Snafu;
use vg_base::prelude::*;

/// Why a member may not act on its rights or admit keyed work.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum AuthorityRefusal {
    /// It is not a member, or fenced.
    #[snafu(display("this node is not a member"))]
    NotMember,
    /// Its lease has lapsed or was never granted.
    #[snafu(display("the lease has lapsed"))]
    LeaseExpired,
    /// The store is out of reach and too few peers say the same.
    #[snafu(display("the store is out of reach, {support} of {needed} needed nodes confirm it"))]
    NoQuorum {
        /// Nodes that say so, this one included.
        support: usize,
        /// Nodes that are a majority.
        needed: usize,
    },
    /// The store has been out of reach for too long.
    #[snafu(display("the store has been out of reach for too long"))]
    OutageTooLong,
    /// Its configuration can't be shown to be the latest.
    #[snafu(display("revision {revision} can't be shown to be the latest"))]
    Stale {
        /// The revision in force here.
        revision: Revision,
    },
}
