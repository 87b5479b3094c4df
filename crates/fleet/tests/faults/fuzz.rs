//! Stateful fuzzing of the planner, checked by the oracle. `VG_FUZZ_CASES` sets the
//! number of cases.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use vg_fleet::faults::NoFaults;

use crate::op::{Op, op};
use crate::world::World;

const CASES: u32 = 96;

/// The reference model, which allows all operations in any order.
#[derive(Debug, Clone, Default)]
struct AnyOrder;

impl ReferenceStateMachine for AnyOrder {
    type State = AnyOrder;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<AnyOrder> {
        Just(AnyOrder).boxed()
    }

    fn transitions(_: &AnyOrder) -> BoxedStrategy<Op> {
        op().boxed()
    }

    fn apply(state: AnyOrder, _: &Op) -> AnyOrder {
        state
    }
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World<NoFaults>;
    type Reference = AnyOrder;

    fn init_test(_: &AnyOrder) -> World<NoFaults> {
        World::new()
    }

    fn apply(mut world: World<NoFaults>, _: &AnyOrder, op: Op) -> World<NoFaults> {
        if let Err(violation) = world.run(&op) {
            panic!("{violation}");
        }
        world
    }

    fn teardown(mut world: World<NoFaults>, _: AnyOrder) {
        if let Err(violation) = world.heal() {
            panic!("after all faults are healed: {violation}");
        }
    }
}

fn config() -> Config {
    let cases = std::env::var("VG_FUZZ_CASES").ok().and_then(|text| text.parse().ok());
    // If the number of cases is not set, the seed is fixed so that each run is the
    // same.
    let rng_seed = if cases.is_some() { RngSeed::Random } else { RngSeed::Fixed(7) };
    let cases = cases.unwrap_or(CASES);
    Config { cases, rng_seed, failure_persistence: None, ..Config::default() }
}

prop_state_machine! {
    #![proptest_config(config())]

    /// Guards against work that is interrupted or runs in two pools, drains that
    /// violate the budget, and hosts that do not come back after faults.
    #[test]
    fn guarantees_hold_under_faults(sequential 1..200 => Fleet);
}
