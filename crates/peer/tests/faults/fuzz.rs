//! Random sequences of faults, checked by the oracle.
//!
//! They guard against two members that act on the same right at the same time, against
//! more attempts than a limit allows, and against rights that are never usable again.
//! `VG_FUZZ_CASES` sets the number of sequences of each share, and `VG_FUZZ_SEED` the first
//! seed.

use proptest::test_runner::{Config, RngSeed, TestCaseError, TestRunner};
use vg_limit::faults::NoFaults;

use crate::sim::world::World;

/// Default number of sequences of each share.
const CASES: u32 = 64;

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// Runs one share. Shares run in parallel, each with its own seed.
fn run(share: u64) {
    let cases = number("VG_FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(number("VG_FUZZ_SEED").unwrap_or(1) + share),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    };
    let outcome = TestRunner::new(config).run(&crate::sim::op::sequence(), |ops| {
        let mut world: World<NoFaults> = World::new();
        world.run_all(&ops).map_err(|violation| TestCaseError::fail(format!("{violation:?}")))
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

#[test]
fn rights_are_conserved_share_0() {
    run(0);
}

#[test]
fn rights_are_conserved_share_1() {
    run(1);
}

#[test]
fn rights_are_conserved_share_2() {
    run(2);
}

#[test]
fn rights_are_conserved_share_3() {
    run(3);
}
