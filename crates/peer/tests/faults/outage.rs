//! Tests of membership in an outage of the store.

use vg_limit::faults::{NoFaults, PermitFaults};
use vg_peer::faults::PeerFaults;

use crate::sim::op::Op;
use crate::sim::world::World;

/// Advances the simulation under a light load, without the loss of messages.
fn run(steps: u16) -> Op {
    Op::Run { steps, seed: 3, loss: 0, load: 10 }
}

/// Whether all members before an outage, in which every lease expires, are still active long
/// after the outage.
fn keeps_all_members<F: PeerFaults>() -> bool {
    let mut world: World<F> = World::new();
    let before = [run(60)];
    let outage = [Op::StoreAll { up: false }, run(100), Op::StoreAll { up: true }, run(100)];
    before.iter().for_each(|op| world.apply(op).unwrap());
    let members: Vec<_> = world.store.cluster_state.members.keys().cloned().collect();
    outage.iter().for_each(|op| world.apply(op).unwrap());
    members.iter().all(|member| world.store.cluster_state.is_active(member))
}

/// After an outage all leased keys are absent at the same time. If a member were fenced as
/// soon as its key is absent, the first members to reach the store would fence all others.
#[test]
fn an_outage_of_the_store_fences_no_member() {
    #[derive(Debug, Clone, Copy, Default)]
    struct Fault;
    impl PermitFaults for Fault {}
    impl PeerFaults for Fault {
        const FENCE_AT_ONCE: bool = true;
    }
    assert!(keeps_all_members::<NoFaults>());
    assert!(!keeps_all_members::<Fault>(), "the fault would be found");
}

/// All leases expire in an outage. The members must continue to dispatch on the status
/// reports of a majority, or the outage of the store would stop all work.
#[test]
fn members_continue_to_dispatch_in_an_outage_of_the_store() {
    let mut world: World<NoFaults> = World::new();
    world.apply(&run(80)).unwrap();
    world.apply(&Op::StoreAll { up: false }).unwrap();
    world.apply(&run(200)).unwrap();
    assert_eq!(world.dispatched_pools(), 3, "each pool has its owner");
}
