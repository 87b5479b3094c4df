//! Injects known faults one at a time and shows that the oracle detects each of them.
//!
//! Each fault has the seed of a sequence that violates an invariant with the fault, and
//! violates none without it. After a change of the sequence generator, set
//! `VG_MUTANT_SEARCH` to the number of seeds to try, and replace the seeds below by the
//! printed ones.

use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use vg_limit::faults::{NoFaults, PermitFaults};
use vg_peer::faults::PeerFaults;

use crate::sim::op::Op;
use crate::sim::oracle::Violation;
use crate::sim::world::World;

fn sequence(seed: u64) -> Vec<Op> {
    let config = Config { rng_seed: RngSeed::Fixed(seed), ..Config::default() };
    let tree = crate::sim::op::sequence().new_tree(&mut TestRunner::new(config));
    tree.expect("the strategy rejects nothing").current()
}

fn run<F: PeerFaults>(seed: u64) -> Result<(), Violation> {
    World::<F>::new().run_all(&sequence(seed))
}

#[allow(clippy::print_stdout, reason = "prints the new seeds")]
fn search<F: PeerFaults>(fault: &str, seeds: u64) {
    let shows = |seed: &u64| run::<F>(*seed).is_err() && run::<NoFaults>(*seed).is_ok();
    match (0..seeds).find(shows) {
        Some(seed) => println!("{fault}={seed} {:?}", run::<F>(seed)),
        None => println!("{fault} is not found with {seeds} seeds"),
    }
}

fn check<F: PeerFaults>(fault: &str, seed: u64) {
    let tried = std::env::var("VG_MUTANT_SEARCH").ok().and_then(|text| text.parse().ok());
    if let Some(seeds) = tried {
        return search::<F>(fault, seeds);
    }
    assert_eq!(run::<NoFaults>(seed), Ok(()), "without the fault");
    assert!(run::<F>(seed).is_err(), "{fault} is not found with seed {seed}");
}

macro_rules! mutants {
    ($($test:ident: $trait:ident::$fault:ident, $seed:literal;)*) => {$(
        #[test]
        fn $test() {
            #[derive(Debug, Clone, Copy, Default)]
            struct Fault;
            mutants!(@impl Fault $trait $fault);
            check::<Fault>(stringify!($fault), $seed);
        }
    )*};
    (@impl $name:ident PermitFaults $fault:ident) => {
        impl PermitFaults for $name {
            const $fault: bool = true;
        }
        impl PeerFaults for $name {}
    };
    (@impl $name:ident PeerFaults $fault:ident) => {
        impl PermitFaults for $name {}
        impl PeerFaults for $name {
            const $fault: bool = true;
        }
    };
}

mutants! {
    credit_twice_is_found: PermitFaults::CREDIT_TWICE, 1;
    keep_settled_is_found: PermitFaults::KEEP_SETTLED, 2;
    return_running_is_found: PermitFaults::RETURN_RUNNING, 3;
    forget_return_is_found: PermitFaults::FORGET_RETURN, 1064;
    start_over_limit_is_found: PermitFaults::START_OVER_LIMIT, 3;
    give_and_keep_is_found: PermitFaults::GIVE_AND_KEEP, 0;
    reclaim_alone_is_found: PermitFaults::RECLAIM_ALONE, 992;
    ignore_lease_is_found: PeerFaults::IGNORE_LEASE, 4;
    skip_quorum_is_found: PeerFaults::SKIP_QUORUM, 0;
    age_by_receipt_is_found: PeerFaults::AGE_BY_RECEIPT, 899;
    support_fenced_is_found: PeerFaults::SUPPORT_FENCED, 51;
    vote_unread_is_found: PeerFaults::VOTE_UNREAD, 5070;
    reassign_unacknowledged_is_found: PeerFaults::REASSIGN_UNACKNOWLEDGED, 14;
    reassign_without_wait_is_found: PeerFaults::REASSIGN_WITHOUT_WAIT, 146;
    reclaim_early_is_found: PeerFaults::RECLAIM_EARLY, 0;
}
