//! Answers to operators about hosts and pools.

use derive_more::Display;
use vg_base::prelude::*;

use crate::{Budget, HostRecord, WallTime};

/// What a pool's maintenance waits for.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WaitReason {
    /// The lists hold the pool.
    #[display("the pool is held by the lists")]
    OnHold,
    /// The budget is 0, so no host may be taken away on purpose.
    #[display("the budget is 0: no host may be away on purpose")]
    NoBudget,
    /// No host is due.
    #[display("no host is due")]
    NotDue,
    /// Too many hosts of the fleet are away.
    #[display("{away} of {fleet} hosts are away: all new drains wait")]
    MassFailure {
        /// Hosts that are away without a plan.
        away: usize,
        /// Hosts of the fleet.
        fleet: usize,
    },
    /// One more host away would break the budget at the next failure.
    #[display(
        "{} serve, {} must, and the next failure may take {}",
        _0.serving, _0.floor, _0.reserve
    )]
    NoMargin(Budget),
    /// All hosts that are due run work for longer than the planner's patience.
    #[display("all hosts that are due run long work; the shortest has {} s left", _0.as_secs())]
    LongWork(Duration),
}

/// What an operator can do about it.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Remedy {
    /// Take the hold off.
    #[display("set `hold = no`")]
    LiftHold,
    /// Allow more hosts away, or add as many hosts.
    #[display("raise `budget` or add hosts, by {_0}")]
    RaiseBudget(u32),
    /// Give the pool a longer period.
    #[display("a longer `period`, or room for more hosts away at once")]
    ExtendPeriod,
    /// Repair or replace hosts.
    #[display("bring back {_0} hosts that are away without a plan")]
    RepairHosts(usize),
}

/// Where a pool stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolId,
    /// Its budget.
    pub budget: Budget,
    /// Hosts whose records name the pool.
    pub members: usize,
    /// Members that are away by plan.
    pub planned: usize,
    /// Members that are away without a plan, or not proved.
    pub failed: usize,
    /// Members that the next wave or the one under way takes.
    pub due: usize,
    /// Why no further host is drained, if none is.
    pub wait: Option<WaitReason>,
    /// When the first host passes its period, at the present pace.
    pub overdue_at: Option<WallTime>,
    /// What would fix it.
    pub remedy: Option<Remedy>,
}

/// Where a host stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostStatus {
    /// Its record.
    pub record: HostRecord,
    /// Whether it counts as serving.
    pub serving: bool,
    /// What it waits for.
    pub reason: SmolStr,
}
