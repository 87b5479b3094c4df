//! What must not be assumed of a worker that has started again under its id.

mod support;

use support::spec::{job, step};
use support::world::{Faults, World};
use vg_base::prelude::*;
use vg_flow::{Action, StartAnswer, StartCommand};

/// Time after which the clock of a worker is far.
const AGE_MS: u64 = 18_000;

/// Returns a world with two workers in pool `a`.
fn world() -> World {
    let mut world = World::new(1, 4, Faults::default());
    world.run(AGE_MS);
    world
}

fn running(world: &World) -> usize {
    world.workers.iter().map(|worker| worker.running.len()).sum()
}

/// Returns the start and the stop that a step of decisions sends.
fn commands(actions: Vec<Action>) -> (Vec<StartCommand>, Vec<Action>) {
    let (mut starts, mut stops) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            Action::Start(start) => starts.push(start),
            Action::Stop { .. } => stops.push(action),
            _ => {}
        }
    }
    (starts, stops)
}

/// Guards against an attempt that is taken for stopped because the earlier life of its worker
/// has answered: the present one would carry out the late start.
#[test]
fn a_stop_that_an_earlier_life_has_answered_stops_nothing_in_the_next() {
    let mut world = world();
    let (now, wall) = (world.now(), world.wall());
    let id = world.submit(1, job("q-a", vec![step(1, 4000, 30_000)], wall));
    let (starts, _) = commands(world.scheduler.plan(now, wall));
    let [start] = starts.as_slice() else { panic!("{starts:?}") };
    let (task, attempt) = (start.task, start.attempt);
    assert_eq!(task.step.job, id);
    world.scheduler.start_answered(task, attempt, StartAnswer::Unanswered, now);
    let (_, stops) = commands(world.scheduler.plan(now, wall));
    assert_eq!(stops.len(), 1);
    // The worker has started again when the answer to the stop is read.
    let at = world.workers.iter().position(|worker| worker.id == start.incarnation.id.as_str());
    let at = at.unwrap();
    world.ms += 20;
    world.restart(at);
    let now = world.now();
    world.scheduler.stop_answered(&start.incarnation, task, attempt, now);
    // The stop goes to the present life soon, and the task waits for the answer.
    let (mut starts, mut stops) = (Vec::new(), Vec::new());
    for wait in 0..=200 {
        let found = commands(world.scheduler.plan(now + Duration::from_millis(wait), wall));
        starts.extend(found.0);
        stops.extend(found.1);
    }
    let [Action::Stop { incarnation, .. }] = stops.as_slice() else { panic!("{stops:?}") };
    assert_eq!(incarnation.start_ms, world.workers[at].start_ms);
    assert!(starts.is_empty(), "{starts:?}");
    world.ms += 200;
    world.workers[at].reachable = false;
    world.run(1000);
    assert_eq!(world.starts, 0, "no stop was answered");
    world.workers[at].reachable = true;
    world.run(200);
    assert_eq!((world.starts, running(&world)), (1, 1));
}
