//! What a new leader must not conclude of workers that it hardly knows.

mod support;

use support::spec::{job, step};
use support::world::{Faults, World};
use vg_base::prelude::*;
use vg_flow::{Action, MachineAnswer, StepSpec};
use vg_standin::FleetWorker;

fn continuous() -> Vec<StepSpec> {
    vec![StepSpec { continuous: true, max_unavailable: Some(1), ..step(4, 1500, 0) }]
}

fn short(count: u32, ms: u64) -> Vec<StepSpec> {
    vec![step(count, 4000, ms)]
}

/// A world with four workers in one pool: one of them has tasks and is dark.
/// Returns the place of that one.
fn dark_worker(world: &mut World) -> usize {
    let wall = world.wall();
    world.submit(1, job("q-a", short(2, 30_000), wall));
    world.run(300);
    let home = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
    world.workers[home].reachable = false;
    world.run(700);
    // It came while the worker was dark, and before the leader changed.
    world.submit(2, job("q-a", short(2, 500), wall));
    home
}

/// Whether all tasks of a job run or have run.
fn has_begun(world: &World, id: u128, tasks: usize) -> bool {
    let running = world.workers.iter().flat_map(|worker| &worker.running);
    running.filter(|held| held.task.step.job == JobId::new(id)).count() == tasks
}

/// A world in which four lasting tasks are at work.
fn settled() -> World {
    let mut world = World::new(1, 8, Faults::default());
    let wall = world.wall();
    world.submit(1, job("q-a", continuous(), wall));
    world.run(2000);
    assert_eq!(world.starts, 4);
    world
}

fn cut_all(world: &mut World, reachable: bool) {
    world.workers.iter_mut().for_each(|worker| worker.reachable = reachable);
}

#[test]
fn runs_of_a_worker_that_falls_silent_after_the_first_look_keep_their_lease() {
    let mut world = settled();
    world.change_leader();
    // All are heard once, and then no more; nothing is recorded meanwhile, so
    // that this leader renews no lease.
    world.lose_store(1000);
    while !world.scheduler.unresolved_incarnations().is_empty() {
        world.step();
    }
    cut_all(&mut world, false);
    world.run(400);
    let home = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
    cut_all(&mut world, true);
    world.workers[home].reachable = false;
    world.run(2500);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
    cut_all(&mut world, true);
    world.run(8000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn tasks_of_workers_that_were_never_heard_wait_over_two_changes_of_the_leader() {
    let mut world = settled();
    cut_all(&mut world, false);
    world.change_leader();
    world.run(500);
    world.change_leader();
    world.run(500);
    // Some workers come back; what the others hold may still run.
    let home = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
    cut_all(&mut world, true);
    world.workers[home].reachable = false;
    world.run(2000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn the_time_on_record_ends_a_doubt_that_was_handed_on() {
    let mut world = settled();
    let home = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
    world.workers[home].up = false;
    world.workers[home].running.clear();
    world.change_leader();
    world.run(3000);
    world.change_leader();
    // The second leader's doubt ends with the first one's: 5.85 s after that.
    world.run(3400);
    let pools = world.scheduler.unresolved_incarnations();
    assert!(pools.is_empty(), "{pools:?}");
    world.run(400);
    let at_work = world.workers.iter().map(|worker| worker.running.len()).sum::<usize>();
    assert_eq!(at_work, 4);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_lagging_answer_does_not_extend_a_lease_beyond_what_is_counted() {
    // A look waits at the worker before its clock is read; a clock that was
    // taken as read when the look was sent would run ahead of the worker's.
    let mut world = settled();
    let now = world.now();
    let id: HostId = world.workers[0].id.parse().unwrap();
    let renewal = world.scheduler.renewal(&id, now).unwrap();
    let ms = world.ms;
    let report = world.workers[0].look(renewal.token, renewal.deadline_ms, 0, ms).unwrap();
    let sent = now - Duration::from_millis(700);
    world.scheduler.apply_report(&id, &report, sent, now);
    let next = world.scheduler.renewal(&id, now).unwrap();
    assert_eq!(next.deadline_ms, Some(report.clock_ms + 4000));
}

#[test]
fn tasks_of_a_dead_worker_start_elsewhere_when_its_lease_has_ended() {
    let mut world = settled();
    let home = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
    world.workers[home].up = false;
    world.workers[home].running.clear();
    // The lease of 4 s, its margins, and a little for the start.
    world.run(5000);
    let at_work = world.workers.iter().map(|worker| worker.running.len()).sum::<usize>();
    assert_eq!(at_work, 4);
}

#[test]
fn a_planned_stop_leaves_no_doubt_of_tasks_that_are_not_on_a_silent_worker() {
    let mut world = World::new(1, 8, Faults::default());
    let home = dark_worker(&mut world);
    world.hand_over();
    world.run(200);
    assert!(has_begun(&world, 2, 2), "the job waits for a worker that does not have it");
    // What the silent worker has is held until its lease has ended.
    world.workers[home].reachable = true;
    world.run(6000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_worker_that_was_silent_before_a_crash_of_the_leader_holds_only_its_tasks() {
    let mut world = World::new(1, 8, Faults::default());
    dark_worker(&mut world);
    world.change_leader();
    world.run(200);
    assert!(has_begun(&world, 2, 2), "the job waits for a worker that does not have it");
    world.run(8000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_worker_that_answers_again_gets_nothing_before_its_record_is_open() {
    let mut world = World::new(1, 8, Faults::default());
    let home = dark_worker(&mut world);
    let before = world.workers[home].running.len();
    world.lose_store(1500);
    world.workers[home].reachable = true;
    let wall = world.wall();
    world.submit(3, job("q-a", short(16, 3000), wall));
    world.run(1000);
    assert_eq!(world.workers[home].running.len(), before);
    world.run(1500);
    assert!(world.workers[home].running.len() > before);
}

#[test]
fn ends_that_are_not_durable_keep_their_tasks_on_a_silent_worker() {
    let mut world = World::new(1, 8, Faults::default());
    let wall = world.wall();
    world.submit(1, job("q-a", short(1, 200), wall));
    world.run(100);
    let home = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
    // The end is read, and can't be made durable.
    world.lose_store(60_000);
    world.run(400);
    assert!(world.workers[home].running.is_empty());
    world.workers[home].reachable = false;
    world.run(400);
    world.hand_over();
    world.lose_store(0);
    world.run(1000);
    world.workers[home].reachable = true;
    world.calm();
    world.run(3000);
    assert_eq!(world.starts, 1);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

/// A world whose pool gives up a machine that has nothing to do, and a job that
/// waits for more than the others have free.
fn moved_machine(world: &mut World) {
    world.add_spare(4);
    let wall = world.wall();
    // One task keeps one machine busy; idle machines are moved away.
    world.submit(1, job("q-a", short(1, 30_000), wall));
    while world.orders.is_empty() {
        world.step();
    }
    // The order is out; its worker has not been missed by a look yet.
    world.commit();
    world.commit();
    world.submit(2, job("q-a", short(2, 500), wall));
}

#[test]
fn a_machine_that_was_ordered_away_leaves_no_doubt() {
    let mut world = World::new(1, 16, Faults::default());
    moved_machine(&mut world);
    world.change_leader();
    world.run(300);
    assert!(has_begun(&world, 2, 2), "the job waits for a worker that is gone");
    world.run(8000);
    assert!(world.broken.is_empty(), "{:?}", world.broken);
}

#[test]
fn a_later_life_of_a_machine_ends_the_doubt_of_an_earlier_one() {
    let mut world = World::new(1, 8, Faults::default());
    world.run(200);
    let home = 0;
    world.workers[home].up = false;
    world.change_leader();
    assert!(!world.scheduler.unresolved_incarnations().is_empty());
    // Its machine has come back under another id.
    let later = world.workers.len();
    let machine = world.workers[home].machine.clone();
    let capacity = world.workers[home].capacity;
    world.workers.push(FleetWorker::new("later", "b", &machine, world.ms, capacity));
    world.register();
    world.run(200);
    let left = world.scheduler.unresolved_incarnations();
    assert!(left.is_empty(), "{left:?}");
    assert!(world.workers[later].up);
}

#[test]
fn a_worker_that_registers_during_a_planned_stop_is_on_the_last_record() {
    let mut world = World::new(1, 8, Faults::default());
    world.run(200);
    world.scheduler.freeze();
    let capacity = world.workers[0].capacity;
    world.workers.push(FleetWorker::new("late", "a", "m-late", world.ms, capacity));
    world.register();
    let lives = world.scheduler.incarnation_records(world.now(), world.wall());
    assert_eq!(lives.len(), 9);
    assert!(
        lives
            .iter()
            .all(|incarnation| incarnation.expires.is_some() && incarnation.tasks.is_some()),
        "{lives:?}"
    );
}

#[test]
fn a_record_of_lives_that_can_not_be_read_holds_everything_back_for_its_time() {
    let mut world = World::new(1, 8, Faults::default());
    let wall = world.wall();
    world.submit(1, job("q-a", short(2, 500), wall));
    world.change_leader();
    let until = world.now() + Duration::from_millis(4000);
    world.scheduler.mark_all_unresolved(until);
    world.run(3900);
    assert!(!has_begun(&world, 1, 2));
    world.run(400);
    assert!(has_begun(&world, 1, 2));
}

#[test]
fn a_machine_whose_order_was_refused_gets_nothing_before_its_record_is_open() {
    let faults = Faults { refusals: 1000, ..Faults::default() };
    let mut world = World::new(1, 16, faults);
    world.add_spare(4);
    while world.refused.is_empty() {
        world.step();
    }
    // The closed record is durable, and the refusal comes after it.
    world.commit();
    world.commit();
    let (_, order) = world.refused.remove(0);
    let (now, wall) = (world.now(), world.wall());
    world.scheduler.machine_answered(&order, MachineAnswer::Limited, now);
    world.submit(1, job("q-a", short(32, 30_000), wall));
    world.submit(2, job("q-b", short(32, 30_000), wall));
    let machine = order.machine();
    let id = world.workers.iter().find(|worker| worker.machine == *machine).unwrap().id.clone();
    let actions = world.scheduler.plan(now, wall);
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start(start) => Some(start.incarnation.id.as_str()),
        _ => None,
    });
    let starts: Vec<_> = starts.collect();
    assert!(!starts.is_empty() && !starts.contains(&id.as_str()), "{id}: {starts:?}");
}
