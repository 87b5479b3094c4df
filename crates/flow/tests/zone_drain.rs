//! Drains of availability zones, decided without a network.

mod support;

use rand::Rng;
use support::spec::{job, step};
use support::world::{Faults, World, zone_of};
use vg_base::prelude::*;
use vg_flow::{MachineCommand, StepSpec};

/// Tasks of the continuous job.
const CONTINUOUS_TASKS: u32 = 6;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];

fn continuous_job(world: &mut World, number: u128) {
    let step = StepSpec {
        continuous: true,
        max_unavailable: Some(1),
        per_worker: Some(1),
        ..step(CONTINUOUS_TASKS, 3000, 0)
    };
    submit(world, number, vec![step]);
}

/// Submits a job without a team, whose limit would restrict it.
fn submit(world: &mut World, number: u128, steps: Vec<StepSpec>) -> JobId {
    let mut spec = (*job("q-a", steps, world.wall())).clone();
    spec.team = None;
    world.submit(number, std::sync::Arc::new(spec))
}

/// Returns the number of tasks of a job that run, in one zone or in all.
fn running(world: &World, number: u128, zone: Option<&str>) -> usize {
    let here = world.workers.iter().filter(|worker| {
        worker.up && zone.is_none_or(|zone| zone_of(&worker.machine).as_str() == zone)
    });
    let attempts = here.flat_map(|worker| &worker.running);
    attempts.filter(|attempt| attempt.task.step.job == JobId::new(number)).count()
}

/// Runs at twice the capacity of the pool, and returns the smallest number of continuous
/// tasks that ran.
fn run_peak(world: &mut World, first: u128, ms: u64) -> usize {
    let until = world.ms + ms;
    let mut lowest = usize::MAX;
    for number in first.. {
        submit(world, number, vec![step(12, 2000, 800)]);
        for _ in 0..5 {
            world.step();
            lowest = lowest.min(running(world, 1, None));
        }
        if world.ms >= until {
            break;
        }
    }
    lowest
}

fn assert_valid(world: &World) {
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against starts in a drained zone while other zones are full, machines that move
/// out of it or into pools for nothing, continuous tasks that stay there or leave at once,
/// and a zone that idles after its drain.
#[test]
fn a_zone_is_drained_at_the_peak_of_a_queue() {
    let mut world = World::new(1, 12, Faults::default());
    world.add_spare(40);
    continuous_job(&mut world, 1);
    world.run(3000);
    assert!(running(&world, 1, Some("z0")) > 0, "no continuous task to evict");
    run_peak(&mut world, 100, 2500);
    let (moves, drained_at) = (world.commands.len(), world.ms);
    world.drain("z0");
    let lowest = run_peak(&mut world, 200, 9000);
    assert_valid(&world);
    assert!(lowest >= CONTINUOUS_TASKS as usize - 1, "{lowest} continuous tasks ran");
    assert_eq!(world.running_in("z0"), 0, "{} ms after the request", world.ms - drained_at);
    let later: Vec<_> = world.commands[moves..].iter().map(|(_, command)| command).collect();
    let is_capacity = |command: &&&MachineCommand| matches!(command, MachineCommand::Move { pool, .. } if pool.as_str() != "spare");
    let taken: Vec<_> = later.iter().filter(is_capacity).collect();
    assert!(!taken.is_empty(), "the pool got no machine");
    let from_zone = taken.iter().filter(|each| zone_of(each.machine()).as_str() == "z0").count();
    assert_eq!(from_zone, 0, "{later:?}");
    // More than the other zones hold.
    submit(&mut world, 2, vec![step(100, 8000, 500)]);
    world.run(40);
    assert_eq!(world.running_in("z0"), 0);
    world.end_drain("z0");
    world.step();
    assert!(world.running_in("z0") > 0, "the zone takes no work in the round after its drain");
    assert_valid(&world);
}

/// Guards against short tasks that are stopped for continuous ones, because others have
/// taken the room that was found for these, and against a zone that does not become empty
/// while the load lasts.
#[test]
fn room_for_tasks_that_leave_the_zone_is_kept_at_the_peak() {
    let mut world = World::new(9, 18, Faults::default());
    continuous_job(&mut world, 1);
    world.run(3000);
    run_peak(&mut world, 100, 2500);
    let evicted = running(&world, 1, Some("z0"));
    assert!(evicted > 0);
    let stops = world.scheduler.counts().stops;
    world.drain("z0");
    run_peak(&mut world, 200, 6000);
    assert_eq!(world.running_in("z0"), 0);
    assert_eq!(running(&world, 1, None), CONTINUOUS_TASKS as usize);
    assert_eq!((world.scheduler.counts().stops - stops) as usize, evicted);
    assert_valid(&world);
}

/// Guards against a continuous task that is stopped although it can start nowhere.
#[test]
fn continuous_tasks_stay_while_no_other_zone_has_room() {
    let mut world = World::new(2, 12, Faults::default());
    continuous_job(&mut world, 1);
    world.run(2000);
    let before = running(&world, 1, Some("z0"));
    assert!(before > 0);
    // Long tasks fill the other zones.
    world.drain("z0");
    submit(&mut world, 2, vec![step(40, 3500, 60_000)]);
    let evicted = world.scheduler.counts().stops;
    world.run(4000);
    let left = running(&world, 1, Some("z0"));
    assert_eq!(running(&world, 1, None), CONTINUOUS_TASKS as usize);
    assert_eq!(before - left, (world.scheduler.counts().stops - evicted) as usize);
    assert_valid(&world);
}

/// Guards against work that is stopped, lost or started while all zones are drained, and
/// against waves that stop a task that can start nowhere.
#[test]
fn nothing_starts_or_is_lost_while_all_zones_are_drained() {
    let mut world = World::new(3, 12, Faults::default());
    world.add_spare(0);
    continuous_job(&mut world, 1);
    submit(&mut world, 2, vec![step(4, 1000, 3000)]);
    world.run(1000);
    assert_eq!(running(&world, 1, None), CONTINUOUS_TASKS as usize);
    ZONES.into_iter().for_each(|zone| world.drain(zone));
    let machines = world.workers.iter().map(|worker| worker.machine.clone()).collect();
    let time_limit = Duration::from_secs(10);
    let wave = vg_flow::Wave { number: 1, machines, time_limit, max_down: 2 };
    let (now, wall) = (world.now(), world.wall());
    world.scheduler.add_wave(wave, None, now, wall);
    assert!(world.scheduler.is_fleet_drained());
    submit(&mut world, 3, vec![step(2, 1000, 200)]);
    let starts = world.starts;
    let running_before = running(&world, 1, None);
    world.run(6000);
    // A repeated request changes nothing.
    world.drain("z1");
    world.run(1000);
    assert_eq!((world.starts, running(&world, 1, None)), (starts, running_before));
    assert!(world.store[&JobId::new(2)].end.is_some(), "running work did not finish");
    ZONES.into_iter().for_each(|zone| world.end_drain(zone));
    world.run(3000);
    assert!(world.store[&JobId::new(3)].end.is_some(), "accepted work did not finish");
    assert_valid(&world);
}

/// Guards against a second attempt elsewhere of a task whose start into the zone was not
/// answered, and against a new start in the zone.
#[test]
fn a_start_into_the_zone_without_an_answer_stays_unresolved_until_it_has_expired() {
    for arrives in [true, false] {
        let mut world = World::new(4, 8, Faults::default());
        world.run(200);
        submit(&mut world, 1, vec![step(1, 1000, 600)]);
        // The first worker is chosen, which is in the zone.
        match arrives {
            true => world.faults.unanswered = 1000,
            false => world.workers[0].reachable = false,
        }
        world.step();
        world.faults = Faults::default();
        world.workers[0].reachable = false;
        assert_eq!(world.running_in("z0"), usize::from(arrives));
        world.drain("z0");
        world.run(1400);
        assert_eq!(world.scheduler.counts().starts, 1, "it was started elsewhere");
        world.run(1000);
        world.workers[0].reachable = true;
        world.run(6000);
        assert!(world.store[&JobId::new(1)].end.is_some(), "arrives: {arrives}");
        assert_valid(&world);
    }
}

/// Guards against a rise of the load that finds a pool without machines, because those in
/// drained zones count.
#[test]
fn a_pool_gets_machines_of_other_zones_before_load_arrives() {
    let mut world = World::new(8, 8, Faults::default());
    world.add_spare(12);
    world.run(200);
    world.drain("z0");
    world.run(2500);
    let here = world.workers.iter().filter(|worker| {
        worker.up && worker.pool == "a" && zone_of(&worker.machine).as_str() != "z0"
    });
    assert!(here.count() >= 4);
    // Idle machines of the zone stay there for a while, so that a short drain costs nothing.
    let left = |world: &World| {
        let moves = world.commands.iter().map(|(_, command)| command.machine());
        moves.filter(|machine| zone_of(machine).as_str() == "z0").count()
    };
    let before = left(&world);
    world.run(10_000);
    assert_eq!(left(&world), before);
    world.run(5000);
    assert!(left(&world) > before, "idle machines are not given back");
}

/// Guards against gangs and speculative attempts that bypass the drain.
#[test]
fn gangs_and_speculative_attempts_stay_out_of_the_zone() {
    let mut world = World::new(5, 8, Faults::default());
    world.run(200);
    ["z0", "z1"].into_iter().for_each(|zone| world.drain(zone));
    // Two members need two workers, and the pool has one outside of the zones.
    submit(&mut world, 1, vec![StepSpec { gang: true, ..step(2, 9000, 300) }]);
    submit(&mut world, 2, vec![StepSpec { speculative: true, ..step(1, 1000, 9000) }]);
    world.run(1000);
    let busy = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
    world.workers[busy].reachable = false;
    world.run(2000);
    assert_eq!((running(&world, 1, None), running(&world, 2, None)), (0, 1));
    ["z0", "z1"].into_iter().for_each(|zone| world.end_drain(zone));
    world.run(200);
    assert_eq!((running(&world, 1, None), running(&world, 2, None)), (2, 2));
    assert_valid(&world);
}

/// Guards against work that is given to cold workers while warm ones are free, and against
/// a change of that order where no zone was drained.
#[test]
fn cold_workers_of_a_zone_that_was_drained_come_last() {
    for was_drained in [true, false] {
        let mut world = World::new(6, 8, Faults::default());
        world.cold_left = Duration::from_secs(4);
        world.register();
        world.run(200);
        if was_drained {
            world.drain("z0");
            world.end_drain("z0");
        }
        submit(&mut world, 1, vec![step(1, 1000, 300)]);
        world.run(100);
        assert_eq!(running(&world, 1, Some("z0")), usize::from(!was_drained));
        world.run(4500);
        submit(&mut world, 2, vec![step(1, 1000, 300)]);
        world.run(100);
        assert_eq!(running(&world, 2, Some("z0")), 1, "the worker is warm again");
    }
}

/// Guards against tasks that are stopped as slow or stalled because their worker is cold.
#[test]
fn a_cold_worker_of_a_zone_that_was_drained_is_not_slow_or_stalled() {
    let mut world = World::new(7, 8, Faults::default());
    world.cold_left = Duration::from_secs(30);
    world.register();
    world.run(200);
    world.drain("z0");
    world.end_drain("z0");
    let cold = world.workers.iter_mut().filter(|each| zone_of(&each.machine).as_str() == "z0");
    // A percent of progress takes 2 s.
    cold.for_each(|worker| worker.slowness = 20);
    submit(&mut world, 1, vec![step(24, 2500, 10_000)]);
    world.run(6000);
    assert_eq!(world.scheduler.counts().stops, 0);
}

/// Guards against starts in drained zones and work that is lost when drains begin and end
/// while all faults coincide.
#[test]
fn invariants_hold_while_zones_are_drained_under_faults() {
    let faults = Faults { refusals: 100, lost_commands: 60, ..Faults::ALL };
    for seed in 0..30 {
        let mut world = World::new(5000 + seed, 9, faults);
        world.add_spare(6);
        continuous_job(&mut world, 1);
        for number in 10..70 {
            submit(&mut world, number, vec![step(3, 2000, 500), step(2, 3000, 300)]);
            let zone = ZONES[world.rng.random_range(0..3)];
            match world.rng.random_range(0..8) {
                0 => world.drain(zone),
                1 => world.end_drain(zone),
                _ => {}
            }
            let pause = world.rng.random_range(100..600);
            world.run(pause);
            assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
        }
        ZONES.into_iter().for_each(|zone| world.end_drain(zone));
        world.end_faults();
        let until = world.ms + 60_000;
        while world.ms < until && world.open_jobs() > 1 {
            world.run(500);
        }
        assert_eq!(world.open_jobs(), 1, "seed {seed}: only the continuous job stays open");
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
}

/// Guards against a leader that panics at a registration with an excessive cold time:
/// the registration stays in the store, so that each further leader would panic too.
#[test]
fn an_excessive_cold_time_is_ignored() {
    let mut world = World::new(7, 4, Faults::default());
    world.cold_left = Duration::MAX;
    world.register();
    world.run(200);
    submit(&mut world, 1, vec![step(1, 1000, 300)]);
    world.run(100);
    assert_eq!(running(&world, 1, None), 1);
}
