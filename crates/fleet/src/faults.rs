//! Known faults that tests put in, to show that they would be found.
//!
//! Each is a constant, so that none of this is left in the product's code.
#![doc(hidden)]

use std::fmt::Debug;

/// No faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoFaults;

/// Faults of the planner; all are off unless a test turns one on.
pub trait FleetFaults: Debug + Clone + Default {
    /// Leaves no room for the loss of a rack.
    const NO_RESERVE: bool = false;
    /// Counts hosts on probation as serving.
    const COUNT_UNVERIFIED: bool = false;
    /// Counts unreachable hosts as serving.
    const COUNT_UNREACHABLE: bool = false;
    /// Takes a host as empty without its dispatcher's word.
    const EMPTY_BEFORE_CLOSE: bool = false;
    /// Takes an earlier drain's word of the dispatcher.
    const IGNORE_VERSION: bool = false;
    /// Does not take drains back when the margin is gone.
    const KEEP_DRAINS: bool = false;
    /// Forgets hosts that are still listed.
    const FORGET_LISTED: bool = false;
    /// Lets a lost host take work though an order to reboot may be under way.
    const SKIP_REBOOT: bool = false;
}

impl FleetFaults for NoFaults {}
