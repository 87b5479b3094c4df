//! What an outage of the store does to membership.

use vg_limit::faults::{NoFaults, PermitFaults};
use vg_peer::faults::PeerFaults;

use crate::sim::op::Op;
use crate::sim::world::World;

fn run(steps: u16) -> Op {
    Op::Run { steps, seed: 3, loss: 0, load: 10 }
}

/// Members that are in the book both before and long after an outage in which
/// every lease lapses.
fn kept<F: PeerFaults>() -> bool {
    let mut world: World<F> = World::new();
    let before = [run(60)];
    let outage = [Op::StoreAll { up: false }, run(100), Op::StoreAll { up: true }, run(100)];
    before.iter().for_each(|op| world.apply(op).unwrap());
    let members: Vec<_> = world.store.cluster_state.members.keys().cloned().collect();
    outage.iter().for_each(|op| world.apply(op).unwrap());
    members.iter().all(|member| world.store.cluster_state.is_active(member))
}

#[test]
fn an_outage_of_the_store_fences_nobody() {
    #[derive(Debug, Clone, Copy, Default)]
    struct Fault;
    impl PermitFaults for Fault {}
    impl PeerFaults for Fault {
        const FENCE_AT_ONCE: bool = true;
    }
    assert!(kept::<NoFaults>());
    assert!(!kept::<Fault>(), "the fault would be found");
}

#[test]
fn members_go_on_dispatching_in_an_outage_of_the_store() {
    let mut world: World<NoFaults> = World::new();
    world.apply(&run(80)).unwrap();
    world.apply(&Op::StoreAll { up: false }).unwrap();
    world.apply(&run(200)).unwrap();
    assert_eq!(world.dispatched(), 3, "each pool has its owner");
}
