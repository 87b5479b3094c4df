//! Faults that tests inject to show that the tests would find them.
//!
//! Each fault is an associated constant, so the compiler removes the code of the
//! faults from the product, which uses [`NoFaults`].
#![doc(hidden)]

/// Faults of the permit accounting; each is off unless a test turns it on.
pub trait PermitFaults: std::fmt::Debug + Clone + Copy + Default + Send + Sync + 'static {
    /// Credits the whole counter of a transfer instead of its increase.
    const CREDIT_TWICE: bool = false;
    /// Accepts permits from a member whose account is closed.
    const RECEIVE_AFTER_CLOSE: bool = false;
    /// Keeps the transfer counters of a closed account after settling with it.
    const KEEP_SETTLED: bool = false;
    /// Lets a member settle twice with the same closed account.
    const SETTLE_TWICE: bool = false;
    /// Returns permits that runs still use.
    const RETURN_RUNNING: bool = false;
    /// Uses permits again while it is unresolved whether their return took
    /// effect.
    const FORGET_RETURN: bool = false;
    /// Starts runs while more permits are granted than a lowered limit allows.
    const START_OVER_LIMIT: bool = false;
    /// Sends permits to a peer without lowering the sender's own holding.
    const GIVE_AND_KEEP: bool = false;
    /// Reclaims a closed account without the accounts that are linked to it.
    const RECLAIM_ALONE: bool = false;
}

/// Turns no fault on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoFaults;

impl PermitFaults for NoFaults {}
