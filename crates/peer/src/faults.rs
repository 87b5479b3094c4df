//! Deliberate faults that tests inject to show that the tests would detect them.
//!
//! Each fault is a constant, so that the compiler removes it from production code.
#![doc(hidden)]

use vg_limit::faults::{NoFaults, PermitFaults};

/// Faults of membership. All are off unless a test turns one on.
pub trait PeerFaults: PermitFaults {
    /// Starts work without checking the lease.
    const IGNORE_LEASE: bool = false;
    /// Continues to act in an outage of the store without a majority of the voters.
    const SKIP_QUORUM: bool = false;
    /// Measures the age of status reports from their receipt, not from their request.
    const AGE_BY_RECEIPT: bool = false;
    /// Supports members that the cluster state has fenced.
    const SUPPORT_FENCED: bool = false;
    /// Supports members although the cluster state was not read from the store since the
    /// start.
    const VOTE_UNREAD: bool = false;
    /// Fences a member as soon as its leased key is absent.
    const FENCE_AT_ONCE: bool = false;
    /// Reassigns rights before a majority of the voters has acknowledged the fence.
    const REASSIGN_UNACKNOWLEDGED: bool = false;
    /// Reassigns rights as soon as a majority has acknowledged the fence, without waiting
    /// until the last status reports have expired.
    const REASSIGN_WITHOUT_WAIT: bool = false;
    /// Reclaims permits while attempts of the lost member may still run.
    const RECLAIM_EARLY: bool = false;
    /// Accepts status reports of peers that know later voters.
    const IGNORE_VOTERS_EPOCH: bool = false;
}

impl PeerFaults for NoFaults {}
