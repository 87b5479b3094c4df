//! Puts known faults in, one at a time, and shows that the fuzzing finds each.

mod sim;

use proptest::test_runner::{Config, RngSeed, TestRunner};
use vg_limit::faults::UnitFaults;
use vg_peer::faults::PeerFaults;

use sim::World;

/// Most sequences until a fault has to be found.
const CASES: u32 = 3000;

#[allow(clippy::print_stdout, reason = "the table of mutants is made from this")]
fn find<F: PeerFaults>() {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let cases = std::cell::Cell::new(0);
    let outcome = TestRunner::new(config).run(&sim::op::sequence(), |ops| {
        cases.set(cases.get() + 1);
        let mut world: World<F> = World::new();
        world.run_all(&ops).map_err(|violation| sim::fail(&violation))
    });
    let error = outcome.expect_err("the fault is not found");
    let text = error.to_string();
    println!(
        "{}: found after {} sequences: {}",
        std::any::type_name::<F>(),
        cases.get(),
        text.lines().next().unwrap_or_default()
    );
}

macro_rules! mutants {
    ($($test:ident: $trait:ident::$fault:ident;)*) => {$(
        #[test]
        fn $test() {
            #[derive(Debug, Clone, Copy, Default)]
            struct Fault;
            mutants!(@impl Fault $trait $fault);
            find::<Fault>();
        }
    )*};
    (@impl $name:ident UnitFaults $fault:ident) => {
        impl UnitFaults for $name {
            const $fault: bool = true;
        }
        impl PeerFaults for $name {}
    };
    (@impl $name:ident PeerFaults $fault:ident) => {
        impl UnitFaults for $name {}
        impl PeerFaults for $name {
            const $fault: bool = true;
        }
    };
}

mutants! {
    credit_twice_is_found: UnitFaults::CREDIT_TWICE;
    receive_after_close_is_found: UnitFaults::RECEIVE_AFTER_CLOSE;
    keep_settled_is_found: UnitFaults::KEEP_SETTLED;
    settle_twice_is_found: UnitFaults::SETTLE_TWICE;
    return_running_is_found: UnitFaults::RETURN_RUNNING;
    forget_return_is_found: UnitFaults::FORGET_RETURN;
    start_over_limit_is_found: UnitFaults::START_OVER_LIMIT;
    give_and_keep_is_found: UnitFaults::GIVE_AND_KEEP;
    reclaim_alone_is_found: UnitFaults::RECLAIM_ALONE;
    ignore_lease_is_found: PeerFaults::IGNORE_LEASE;
    skip_quorum_is_found: PeerFaults::SKIP_QUORUM;
    age_by_receipt_is_found: PeerFaults::AGE_BY_RECEIPT;
    support_fenced_is_found: PeerFaults::SUPPORT_FENCED;
    vote_unread_is_found: PeerFaults::VOTE_UNREAD;
    fence_at_once_is_found: PeerFaults::FENCE_AT_ONCE;
    pass_unacknowledged_is_found: PeerFaults::PASS_UNACKNOWLEDGED;
    pass_without_grace_is_found: PeerFaults::PASS_WITHOUT_GRACE;
    reclaim_early_is_found: PeerFaults::RECLAIM_EARLY;
    ignore_voters_epoch_is_found: PeerFaults::IGNORE_VOTERS_EPOCH;
}
