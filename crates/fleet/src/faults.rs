//! Faults that tests inject into the planner to show that the tests detect them.
//!
//! Each fault is an associated constant, so the compiler removes it from
//! production code.
#![doc(hidden)]

use std::fmt::Debug;

/// Injects no faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoFaults;

/// Faults of the planner. All are off unless a test turns one on.
pub trait FleetFaults: Debug + Clone + Default {
    /// Reserves no hosts for the loss of a rack.
    const NO_RESERVE: bool = false;
    /// Counts hosts on probation as serving.
    const COUNT_UNVERIFIED: bool = false;
    /// Counts unreachable hosts as serving.
    const COUNT_UNREACHABLE: bool = false;
    /// Treats a host as empty before its dispatcher reports that the host is closed.
    const EMPTY_BEFORE_CLOSE: bool = false;
    /// Accepts a dispatcher's report that refers to an earlier drain.
    const IGNORE_VERSION: bool = false;
    /// Does not cancel drains when the margin is negative.
    const KEEP_DRAINS: bool = false;
    /// Removes the records of hosts that are still in the host list.
    const FORGET_LISTED: bool = false;
    /// Lets a lost host accept work although a command to reboot it may still
    /// arrive.
    const SKIP_REBOOT: bool = false;
}

impl FleetFaults for NoFaults {}
