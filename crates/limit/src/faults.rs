//! Known faults that tests put in, to show that they would be found.
//!
//! Each is a constant, so that none of this is left in the product's code.
#![doc(hidden)]

/// Faults of the units; all are off unless a test turns one on.
pub trait PermitFaults: std::fmt::Debug + Clone + Copy + Default + Send + Sync + 'static {
    /// Credits a counter whole instead of its growth.
    const CREDIT_TWICE: bool = false;
    /// Takes units in from a member whose account is closed.
    const RECEIVE_AFTER_CLOSE: bool = false;
    /// Keeps the counters with a closed account after settling.
    const KEEP_SETTLED: bool = false;
    /// Lets a member settle twice with the same closed account.
    const SETTLE_TWICE: bool = false;
    /// Gives back units that still run.
    const RETURN_RUNNING: bool = false;
    /// Uses units again while their return is in doubt.
    const FORGET_RETURN: bool = false;
    /// Starts work while a lowered limit is exceeded.
    const START_OVER_LIMIT: bool = false;
    /// Sends units on without lowering the giver's own holding.
    const GIVE_AND_KEEP: bool = false;
    /// Reclaims a closed account without those that it is linked to.
    const RECLAIM_ALONE: bool = false;
}

/// No fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoFaults;

impl PermitFaults for NoFaults {}
