//! Operations of the fault tests and their generator.

use proptest::prelude::*;

/// How the store handles a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreReply {
    /// The commit is executed and answered.
    Given,
    /// The commit is executed, but its answer is lost.
    AnswerLost,
    /// The commit is lost before it is executed, and there is no answer.
    RequestLost,
    /// The commit is executed later, and there is no answer.
    Delayed,
    /// The store is not reached.
    Unreached,
}

/// An operation on the simulated fleet. Indices of planners, hosts and pools are
/// `usize`.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    /// An entry host claims the role of the planner.
    Claim(usize, StoreReply),
    /// A planner plans and commits one batch.
    Plan(usize, StoreReply),
    /// The commands of a planner are delivered.
    Deliver(usize),
    /// The dispatchers read the records.
    SyncDispatchers,
    /// The reports about all hosts are updated.
    RefreshReports,
    /// The host list is updated.
    RefreshList,
    /// A dispatcher starts work on a host.
    StartWork(usize),
    /// The work on a host ends.
    FinishWork(usize),
    /// A host fails.
    Fail(usize),
    /// All hosts of a rack fail.
    FailRack(usize),
    /// All hosts of an availability zone fail.
    FailZone(usize),
    /// All failed hosts come back with a new incarnation.
    RecoverAll,
    /// One failed host comes back with a new incarnation.
    Recover(usize),
    /// A host fails and is removed from the host list.
    Remove(usize),
    /// The store executes the delayed commits.
    ApplyDelayed,
    /// Time advances by minutes.
    Advance(u64),
    /// Time advances by minutes, all information is updated except for the host
    /// list, and a planner plans. Its commands are delivered if the flag is set.
    /// Then all hosts that were not removed are up again.
    Tick(usize, u64, bool),
    /// A planner plans several times on old reports while work is started.
    PlanOnStaleReports(usize),
    /// The hold of a pool is set or ended.
    ToggleHold(usize),
    /// The lists ask for another number of hosts in a pool.
    SetPoolHosts(usize, u32),
}

fn reply() -> impl Strategy<Value = StoreReply> {
    prop_oneof![
        6 => Just(StoreReply::Given),
        1 => Just(StoreReply::AnswerLost),
        1 => Just(StoreReply::RequestLost),
        1 => Just(StoreReply::Delayed),
        1 => Just(StoreReply::Unreached),
    ]
}

const MINUTES: [u64; 6] = [1, 5, 10, 40, 24 * 60, 5 * 24 * 60];

pub(crate) fn op() -> impl Strategy<Value = Op> {
    let minutes = (0..MINUTES.len()).prop_map(|index| MINUTES[index]);
    let short_minutes = (0..4_usize).prop_map(|index| MINUTES[index]);
    prop_oneof![
        3 => (0..2_usize, reply()).prop_map(|(node, reply)| Op::Claim(node, reply)),
        12 => (0..2_usize, reply()).prop_map(|(node, reply)| Op::Plan(node, reply)),
        6 => (0..2_usize).prop_map(Op::Deliver),
        6 => Just(Op::SyncDispatchers),
        6 => Just(Op::RefreshReports),
        3 => Just(Op::RefreshList),
        10 => (0..64_usize).prop_map(Op::StartWork),
        6 => (0..64_usize).prop_map(Op::FinishWork),
        3 => (0..64_usize).prop_map(Op::Fail),
        1 => (0..64_usize).prop_map(Op::FailRack),
        1 => (0..64_usize).prop_map(Op::FailZone),
        3 => Just(Op::RecoverAll),
        3 => (0..64_usize).prop_map(Op::Recover),
        1 => (0..64_usize).prop_map(Op::Remove),
        3 => Just(Op::ApplyDelayed),
        4 => minutes.prop_map(Op::Advance),
        20 => (0..2_usize, short_minutes, prop::bool::weighted(0.7))
            .prop_map(|(node, minutes, deliver)| Op::Tick(node, minutes, deliver)),
        3 => (0..2_usize).prop_map(Op::PlanOnStaleReports),
        1 => (0..3_usize).prop_map(Op::ToggleHold),
        1 => (0..3_usize, 4..8_u32).prop_map(|(pool, hosts)| Op::SetPoolHosts(pool, hosts)),
    ]
}
