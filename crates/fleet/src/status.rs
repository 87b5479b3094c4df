//! The status of hosts and pools, as shown to operators.

use derive_more::Display;
use vg_base::prelude::*;

use crate::{Budget, HostRecord, WallTime};

/// The reason why the maintenance of a pool waits.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WaitReason {
    /// The operators' lists put the pool on hold.
    #[display("the lists put the pool on hold")]
    OnHold,
    /// The budget is 0, so no host may be away by plan.
    #[display("the budget is 0: no host may be away by plan")]
    NoBudget,
    /// No host is due for maintenance.
    #[display("no host is due")]
    NotDue,
    /// Too many hosts of the fleet are away without a plan.
    #[display("{away} of {fleet} hosts are away without a plan: all new drains wait")]
    MassFailure {
        /// Number of hosts that are away without a plan.
        away: usize,
        /// Number of hosts in the fleet.
        fleet: usize,
    },
    /// If one more host were away, the next failure would violate the budget.
    #[display(
        "{} hosts serve, at least {} must, and the next failure may take {}",
        _0.serving, _0.floor, _0.reserve
    )]
    NoMargin(Budget),
    /// The remaining work of all hosts that are due takes longer than
    /// [`Limits::max_remaining`](crate::Limits::max_remaining).
    #[display("all hosts that are due run long work; the shortest has {} s left", _0.as_secs())]
    LongWork(Duration),
}

/// The action by which an operator can bring the maintenance of a pool back on
/// time.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Remedy {
    /// End the hold of the pool.
    #[display("set `hold = no`")]
    LiftHold,
    /// Let this many more hosts be away, or add this many hosts.
    #[display("raise `budget` or add hosts, by {_0}")]
    RaiseBudget(u32),
    /// Give the pool a longer period, or let more hosts be away.
    #[display("set a longer `period`, or let more hosts be away at once")]
    ExtendPeriod,
    /// Repair or replace this many hosts.
    #[display("repair or replace {_0} hosts that are away without a plan")]
    RepairHosts(usize),
}

/// The maintenance status of a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolId,
    /// Budget of the pool.
    pub budget: Budget,
    /// Number of hosts whose records name the pool.
    pub members: usize,
    /// Number of members that are away by plan.
    pub planned: usize,
    /// Number of members that neither serve nor are away by plan: failed,
    /// unreachable, leaving or not verified.
    pub failed: usize,
    /// Number of members whose last maintenance is long enough ago for the current
    /// or the next wave.
    pub due: usize,
    /// The reason why no further host is drained, if there is one.
    pub wait: Option<WaitReason>,
    /// Deadline of the first host that will not be maintained in time at the
    /// present pace, if any.
    pub overdue_at: Option<WallTime>,
    /// The action that would let all hosts be maintained in time, if one is needed.
    pub remedy: Option<Remedy>,
}

/// The status of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostStatus {
    /// Record of the host.
    pub record: HostRecord,
    /// Whether the host counts as serving.
    pub serving: bool,
    /// The reason why the host is in its state.
    pub reason: SmolStr,
}
