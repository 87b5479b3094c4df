//! Known faults that tests put in, to show that they would be found.
//!
//! Each is a constant, so that none of this is left in the product's code.
#![doc(hidden)]

use vg_limit::faults::{NoFaults, PermitFaults};

/// Faults of membership; all are off unless a test turns one on.
pub trait PeerFaults: PermitFaults {
    /// Starts work without a look at the lease.
    const IGNORE_LEASE: bool = false;
    /// Goes on in an outage without a majority.
    const SKIP_QUORUM: bool = false;
    /// Counts statements from their receipt, not from when they were asked for.
    const AGE_BY_RECEIPT: bool = false;
    /// Supports members that the book has fenced.
    const SUPPORT_FENCED: bool = false;
    /// Supports members after a start without the store.
    const VOTE_UNREAD: bool = false;
    /// Fences a member as soon as its key is away.
    const FENCE_AT_ONCE: bool = false;
    /// Passes rights before a majority knows the fence.
    const PASS_UNACKNOWLEDGED: bool = false;
    /// Passes rights at once when a majority knows the fence.
    const PASS_WITHOUT_GRACE: bool = false;
    /// Reclaims units while runs of the lost member may go on.
    const RECLAIM_EARLY: bool = false;
    /// Counts on voters of any age.
    const IGNORE_VOTERS_EPOCH: bool = false;
}

impl PeerFaults for NoFaults {}
