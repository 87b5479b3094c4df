//! Random faults against an oracle: what must hold at every start, and that
//! all work ends once the faults do.

mod support;

use rand::Rng;
use support::spec::{job, step};
use support::world::{Faults, World};
use vg_flow::StepSpec;

/// Seeds of a usual run; set `VG_SEEDS` for more.
const SEEDS: u64 = 60;
/// Time under faults, and time to finish without them.
const FAULTY_MS: u64 = 25_000;
const CALM_MS: u64 = 60_000;

fn seeds() -> u64 {
    std::env::var("VG_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn random_job(world: &mut World, number: u128) {
    let wall = world.wall();
    let mut steps = Vec::new();
    for at in 0..world.rng.random_range(1..4_u16) {
        let rng = &mut world.rng;
        let mut each =
            step(rng.random_range(1..7), rng.random_range(300..5000), rng.random_range(200..1800));
        each.speculative = rng.random_range(0..4) == 0;
        each.per_worker = (rng.random_range(0..6) == 0).then_some(2);
        if at > 0 {
            each.after = vec![rng.random_range(0..at)];
        }
        steps.push(each);
    }
    let queue = if world.rng.random_range(0..2) == 0 { "q-a" } else { "q-b" };
    let id = world.submit(number, job(queue, steps, wall));
    if world.rng.random_range(0..12) == 0 {
        world.run(400);
        world.cancel(id);
    }
}

fn lasting_job(world: &mut World, number: u128) {
    let steps = vec![StepSpec { continuous: true, max_unavailable: Some(1), ..step(3, 1500, 0) }];
    let wall = world.wall();
    world.submit(number, job("q-a", steps, wall));
}

fn play(seed: u64, faults: Faults) {
    play_in(World::new(seed, 8, faults), seed);
}

fn play_in(mut world: World, seed: u64) {
    lasting_job(&mut world, 1_000_000);
    let mut number = 0;
    while world.ms < FAULTY_MS {
        number += 1;
        random_job(&mut world, number);
        let pause = world.rng.random_range(100..700);
        world.run(pause);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
    world.calm();
    let until = world.ms + CALM_MS;
    while world.ms < until && world.open_jobs() > 1 {
        world.run(500);
    }
    assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    assert_eq!(world.open_jobs(), 1, "seed {seed}: only the lasting job stays open");
    assert!(world.starts > 50, "seed {seed}: {} starts", world.starts);
}

#[test]
fn promises_hold_when_answers_are_lost_and_orders_come_late() {
    let faults =
        Faults { unanswered: 40, late: 40, dropped: 30, failures: 30, ..Faults::default() };
    (0..seeds()).for_each(|seed| play(seed, faults));
}

#[test]
fn promises_hold_when_workers_restart_and_are_cut_off() {
    let faults = Faults { restarts: 4, cuts: 8, late: 10, failures: 20, ..Faults::default() };
    (0..seeds()).for_each(|seed| play(1000 + seed, faults));
}

#[test]
fn promises_hold_when_leaders_change_and_the_store_is_away() {
    let faults = Faults {
        leaders: 4,
        outages: 5,
        cuts: 4,
        late: 20,
        unanswered: 20,
        failures: 250,
        ..Faults::default()
    };
    (0..seeds()).for_each(|seed| play(2000 + seed, faults));
}

#[test]
fn promises_hold_when_everything_comes_together() {
    let faults = Faults {
        unanswered: 30,
        late: 30,
        dropped: 20,
        failures: 30,
        restarts: 3,
        cuts: 6,
        leaders: 4,
        outages: 4,
        refusals: 0,
    };
    (0..seeds()).for_each(|seed| play(3000 + seed, faults));
}

#[test]
fn promises_hold_when_machines_move_and_orders_are_refused() {
    let faults = Faults {
        unanswered: 10,
        cuts: 3,
        failures: 20,
        leaders: 6,
        outages: 6,
        refusals: 400,
        ..Faults::default()
    };
    for seed in 0..seeds() {
        let mut world = World::new(4000 + seed, 8, faults);
        world.add_spare(6);
        play_in(world, 4000 + seed);
    }
}
