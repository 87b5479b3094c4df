//! Tasks that are suspected of a crash: how long they wait, and what is given up.

mod support;

use std::sync::Arc;

use rand::Rng;
use support::spec::{job, step};
use support::world::{Faults, World};
use vg_base::prelude::*;
use vg_flow::{JobOutcome, JobSpec, StepId, StepSpec, TaskId};

fn only_task(job: u128) -> TaskId {
    TaskId { step: StepId { job: JobId::new(job), occurrence: 0, step: 0 }, index: 0 }
}

/// A world of `workers` in each of two pools.
fn world_of(seed: u64, workers: usize) -> World {
    let mut world = World::new(seed, workers * 2, Faults::default());
    world.run(300);
    world
}

fn submit_many(world: &mut World, count: u128, spec: impl Fn(SystemTime) -> Arc<JobSpec>) {
    let wall = world.wall();
    for id in 1..=count {
        world.submit(id, spec(wall));
    }
}

/// Runs until so many attempts run, on the workers of pool `a`.
fn run_until_running(world: &mut World, count: usize) {
    let until = world.ms + 5000;
    while world.workers.iter().map(|worker| worker.running.len()).sum::<usize>() < count {
        assert!(world.ms < until, "they did not start");
        world.step();
    }
}

/// Crashes the worker with most attempts, for good.
fn lose_fullest(world: &mut World) {
    world.crashes.gone = true;
    let all = world.workers.iter().enumerate().filter(|(_, worker)| worker.up);
    let (at, _) = all.max_by_key(|(_, worker)| worker.running.len()).unwrap();
    world.crash(at);
    let id = world.workers[at].id.parse::<HostId>().unwrap();
    world.scheduler.deregister(&id);
}

/// Returns how long after `from` the last of the jobs started again.
fn last_start_after(world: &World, from: u64) -> u64 {
    world.started.iter().map(|(ms, ..)| *ms).filter(|ms| *ms > from).max().unwrap() - from
}

/// Guards against suspects that wait for each other: one crash makes dozens of them, and the
/// pool is idle.
#[test]
fn the_wait_of_suspects_does_not_grow_with_their_number() {
    for (count, age_ms, workers) in [(8, 400, 8), (30, 400, 8), (30, 900, 8), (30, 900, 4)] {
        let mut world = world_of(31, workers);
        // All of them fit on one worker.
        submit_many(&mut world, count, |wall| job("q-a", vec![step(1, 500, 4000)], wall));
        run_until_running(&mut world, count as usize);
        world.run(age_ms);
        lose_fullest(&mut world);
        let (from, before) = (world.ms, world.starts);
        // Their leases have to end first.
        let lease_ms = 6500;
        world.judge_waits_in(lease_ms);
        world.run(lease_ms + 12_000);
        assert!(world.starts > before, "no task was lost");
        assert!(world.violations.is_empty(), "{count} {age_ms}: {:?}", world.violations);
        let waited = last_start_after(&world, from);
        assert!(waited < lease_ms + 3000, "{count} {age_ms} {workers}: {waited} ms");
        assert_eq!(world.open_jobs(), 0);
    }
}

/// Guards against innocent tasks that are given up because they shared a trial with one that
/// crashes its workers, and against a deadly one that takes worker after worker.
#[test]
fn a_deadly_task_among_many_suspects_is_found_and_the_others_are_done() {
    for (seed, after_ms) in [(32, 10), (33, 60), (34, 400), (35, 800)] {
        let mut world = world_of(seed, 8);
        world.make_deadly(only_task(7), after_ms);
        submit_many(&mut world, 30, |wall| job("q-a", vec![step(1, 500, 4000)], wall));
        world.run(40_000);
        let crashes = world.crashes_under(only_task(7));
        assert!(crashes <= 3, "{after_ms} ms: {:?}", world.crashes.under);
        for id in 1..=30 {
            let expected = if id == 7 { JobOutcome::Failed } else { JobOutcome::Done };
            assert_eq!(world.store[&JobId::new(id)].end, Some(expected), "{after_ms} ms, {id}");
        }
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against a job that is shown as failed although none of its tasks has to do with
/// the crashes: workers fall one after the other, by chance.
#[test]
fn crashes_by_chance_fail_few_jobs() {
    let (mut failed, mut jobs) = (0, 0);
    for seed in 40..60 {
        let mut world = world_of(seed, 10);
        let mut number = 0;
        let until = world.ms + 30_000;
        let mut next_crash = world.ms + 500;
        while world.ms < until {
            number += 1;
            let wall = world.wall();
            let estimate = world.rng.random_range(300..2000);
            world.submit(number, job("q-a", vec![step(2, 1000, estimate)], wall));
            world.run(200);
            if world.ms >= next_crash {
                next_crash += 800;
                let up = world.workers.iter().enumerate().filter(|(_, worker)| worker.up);
                let up: Vec<_> = up.filter(|(_, w)| w.pool == "a").map(|(at, _)| at).collect();
                let at = up[world.rng.random_range(0..up.len())];
                world.crash(at);
            }
        }
        world.run(30_000);
        let ends = world.store.values().map(|stored| stored.end);
        failed += ends.filter(|end| *end == Some(JobOutcome::Failed)).count();
        jobs += world.store.len();
        assert!(world.violations.is_empty(), "seed {seed}: {:?}", world.violations);
    }
    assert!(failed * 500 <= jobs, "{failed} of {jobs}");
}

/// Guards against a continuous task that waits in a full pool because it is suspected of a
/// crash: others give way to it as they do to one that is not.
#[test]
fn others_give_way_to_a_suspected_continuous_task() {
    let mut world = world_of(36, 4);
    let of_no_team =
        |steps, wall| Arc::new(JobSpec { team: None, ..JobSpec::clone(&job("q-a", steps, wall)) });
    submit_many(&mut world, 4, |wall| of_no_team(vec![step(4, 4000, 45_000)], wall));
    run_until_running(&mut world, 16);
    let continuous = StepSpec { continuous: true, max_unavailable: Some(1), ..step(2, 3000, 0) };
    let wall = world.wall();
    let id = world.submit(1000, of_no_team(vec![continuous], wall));
    let runs = |world: &World| {
        let up = world.workers.iter().filter(|worker| worker.up);
        up.flat_map(|worker| &worker.running).filter(|each| each.task.step.job == id).count()
    };
    while runs(&world) < 2 {
        world.step();
    }
    world.run(400);
    let holds = |worker: &vg_standin::SimulatedWorker| {
        worker.up && worker.running.iter().any(|each| each.task.step.job == id)
    };
    let at = world.workers.iter().position(holds).unwrap();
    world.crashes.gone = true;
    world.crash(at);
    let gone = world.workers[at].id.parse::<HostId>().unwrap();
    world.scheduler.deregister(&gone);
    world.run(10_000);
    assert_eq!(runs(&world), 2, "it does not run again");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a continuous job that is ended, and whose sound tasks are stopped, as workers
/// have crashed under one of them five times by chance.
#[test]
fn five_crashes_by_chance_do_not_end_a_continuous_job() {
    let mut world = world_of(37, 8);
    let wall = world.wall();
    let continuous = StepSpec { continuous: true, max_unavailable: Some(1), ..step(1, 1000, 0) };
    world.submit(1, job("q-a", vec![continuous], wall));
    for age_ms in [700, 1900, 200, 2600, 1200, 3100, 450] {
        run_until_running(&mut world, 1);
        world.run(age_ms);
        let at = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
        world.crash(at);
    }
    world.run(12_000);
    assert_eq!(world.store[&JobId::new(1)].end, None);
    assert!(world.workers.iter().any(|worker| worker.up && !worker.running.is_empty()));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
