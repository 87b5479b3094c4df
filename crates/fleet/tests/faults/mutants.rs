//! Injects faults into the planner one at a time and shows that the oracle detects
//! each of them.
//!
//! Each fault has the seed of a sequence that violates a guarantee with the fault
//! and violates none without it. After a change of the generator of sequences, set
//! `VG_MUTANT_SEARCH` to the number of seeds to try and copy the printed seeds to
//! this file.

use proptest::collection::vec;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use vg_fleet::faults::{FleetFaults, NoFaults};

use crate::op::{Op, op};
use crate::oracle::Violation;
use crate::world::World;

fn sequence(seed: u64) -> Vec<Op> {
    let config = Config { rng_seed: RngSeed::Fixed(seed), ..Config::default() };
    let tree = vec(op(), 200).new_tree(&mut TestRunner::new(config));
    tree.expect("the strategy rejects nothing").current()
}

fn run<F: FleetFaults>(seed: u64) -> Result<(), Violation> {
    World::<F>::new().run_all(&sequence(seed))
}

#[allow(clippy::print_stdout, reason = "prints the seeds to copy to this file")]
fn search<F: FleetFaults>(fault: &str, seeds: u64) {
    let detects = |seed: &u64| run::<F>(*seed).is_err() && run::<NoFaults>(*seed).is_ok();
    match (0..seeds).find(detects) {
        Some(seed) => println!("{fault}={seed} {:?}", run::<F>(seed)),
        None => println!("{fault} is not found with {seeds} seeds"),
    }
}

fn check<F: FleetFaults>(fault: &str, seed: u64) {
    let search_seeds = std::env::var("VG_MUTANT_SEARCH").ok().and_then(|text| text.parse().ok());
    if let Some(seeds) = search_seeds {
        return search::<F>(fault, seeds);
    }
    assert_eq!(run::<NoFaults>(seed), Ok(()), "without the fault");
    assert!(run::<F>(seed).is_err(), "{fault} is not found with seed {seed}");
}

macro_rules! mutants {
    ($($test:ident: $fault:ident, $seed:literal;)*) => {$(
        #[test]
        fn $test() {
            #[derive(Debug, Clone, Copy, Default)]
            struct Fault;
            impl FleetFaults for Fault {
                const $fault: bool = true;
            }
            check::<Fault>(stringify!($fault), $seed);
        }
    )*};
}

mutants! {
    no_reserve_is_found: NO_RESERVE, 0;
    count_unverified_is_found: COUNT_UNVERIFIED, 0;
    count_unreachable_is_found: COUNT_UNREACHABLE, 0;
    empty_before_close_is_found: EMPTY_BEFORE_CLOSE, 4;
    ignore_version_is_found: IGNORE_VERSION, 59;
    keep_drains_is_found: KEEP_DRAINS, 0;
    forget_listed_is_found: FORGET_LISTED, 0;
}
