//! Queues whose steps need an adviser of limited speed.

mod support;

use std::sync::Arc;

use support::spec::{job, queue, step};
use support::world::{Faults, World};
use vg_base::prelude::*;
use vg_flow::{Admission, AdviserTiming, JobOutcome, OperatorConfig, decide};

/// Time after the last job by which all of them must have ended.
const FINISH_MS: u64 = 14_000;

fn timing(base_ms: u64, per_worker_ms: u64) -> AdviserTiming {
    AdviserTiming {
        base: Duration::from_millis(base_ms),
        per_worker: Duration::from_millis(per_worker_ms),
        validity: Duration::from_secs(3),
    }
}

fn advised_world(seed: u64, timing: AdviserTiming, faults: Faults) -> World {
    let mut world = World::new(seed, 32, faults);
    world.add_adviser(timing);
    world.run(500);
    world
}

/// Submits a job each `interval_ms` for a time.
fn submit_for(world: &mut World, ms: u64, interval_ms: u64) {
    let until = world.ms + ms;
    while world.ms < until {
        let (id, wall) = (world.store.len() as u128 + 1, world.wall());
        world.submit(id, job("q-a", vec![step(4, 1000, 500)], wall));
        world.run(interval_ms);
    }
}

fn finish(world: &mut World) {
    world.judge_waits_in(FINISH_MS);
    world.run(FINISH_MS + 4000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.open_jobs(), 0);
}

/// Guards against a burst after which the adviser is busy for ever with queries that were
/// given up, as each step gave its own up after a fixed time and asked again.
#[test]
fn a_burst_does_not_keep_the_adviser_busy_with_queries_that_were_given_up() {
    for (seed, base_ms, per_worker_ms) in [(1, 100, 25), (2, 400, 10), (3, 20, 40)] {
        let mut world = advised_world(seed, timing(base_ms, per_worker_ms), Faults::default());
        submit_for(&mut world, 6000, 840);
        submit_for(&mut world, 4000, 320);
        submit_for(&mut world, 30_000, 840);
        finish(&mut world);
        let adviser = world.adviser.as_ref().unwrap();
        assert!(adviser.in_vain * 20 <= adviser.handled, "{adviser:?}");
    }
}

/// Guards against queries that are all given up, because the adviser takes longer than it
/// says, or because its answers are lost.
#[test]
fn an_adviser_that_is_slow_or_loses_answers_is_asked_until_all_work_is_done() {
    for (slowness, lost) in [(4, 0), (1, 300), (2, 100)] {
        let mut world = advised_world(4, timing(40, 5), Faults::default());
        let adviser = world.adviser.as_mut().unwrap();
        (adviser.slowness, adviser.lost) = (slowness, lost);
        submit_for(&mut world, 20_000, 900);
        finish(&mut world);
    }
}

/// Guards against steps that wait behind a pool with much work: the adviser is asked for
/// all pools by turns.
#[test]
fn a_pool_with_a_backlog_does_not_keep_others_from_the_adviser() {
    let mut world = advised_world(5, timing(100, 25), Faults::default());
    let mut config = OperatorConfig::clone(&world.config);
    config.queue_mut(&queue("q-b")).unwrap().priority = 0;
    world.config = Arc::new(config);
    world.scheduler.set_config(Arc::clone(&world.config));
    for id in 1..=60 {
        let wall = world.wall();
        world.submit(id, job("q-a", vec![step(4, 1000, 500)], wall));
    }
    world.run(100);
    let wall = world.wall();
    world.submit(1000, job("q-b", vec![step(4, 1000, 500)], wall));
    world.run(3000);
    assert_eq!(world.store[&JobId::new(1000)].end, Some(JobOutcome::Done));
}

/// Guards against jobs that are accepted and stand still, because more steps need the
/// adviser than it can answer, for longer than a burst.
#[test]
fn jobs_that_the_adviser_can_not_answer_in_time_are_rejected() {
    let mut world = advised_world(6, timing(400, 25), Faults::default());
    let mut rejected = 0;
    for id in 1..=200 {
        let (now, wall) = (world.now(), world.wall());
        let spec = job("q-a", vec![step(4, 1000, 500)], wall);
        let digest = world.scheduler.load_digest(now, wall);
        let config = Arc::clone(&world.config);
        let of = config.present_queue(&queue("q-a")).unwrap();
        let admission =
            digest.map_or(Admission::Admit, |digest| decide(&digest, Duration::ZERO, &spec, of));
        match admission {
            Admission::Admit => _ = world.submit(id, spec),
            Admission::Reject(_) => rejected += 1,
        }
        world.run(200);
    }
    finish(&mut world);
    assert!(rejected > 60, "{rejected}");
    // The adviser was busy with useful queries all the while: it can answer two a second.
    assert!(world.store.len() > 60, "{}", world.store.len());
}
