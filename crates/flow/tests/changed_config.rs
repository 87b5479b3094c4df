//! What configurations that change must not take from jobs that were accepted before.

mod support;

use std::sync::Arc;

use support::spec::{job, pool, queue, step, team};
use support::world::{Faults, World};
use vg_base::prelude::*;
use vg_flow::{JobSpec, JobState, OperatorConfig, StepSpec};

/// Returns a world without faults, and its wall time.
fn world() -> (World, SystemTime) {
    let world = World::new(1, 8, Faults::default());
    let wall = world.wall();
    (world, wall)
}

fn short(count: u32, ms: u64) -> Vec<StepSpec> {
    vec![step(count, 4000, ms)]
}

/// Puts a version in force that differs from the last one as `change` says.
fn change(world: &mut World, change: impl FnOnce(&mut OperatorConfig)) {
    let mut config = (*world.config).clone();
    config.version += 1;
    change(&mut config);
    world.config = Arc::new(config);
    world.scheduler.set_config(Arc::clone(&world.config));
}

fn send_queue_to(world: &mut World, name: &str) {
    change(world, |config| config.queue_mut(&queue("q-a")).unwrap().pool = pool(name));
}

/// Cuts off the workers that run something.
fn cut_off_busy(world: &mut World) {
    for worker in &mut world.workers {
        worker.reachable = worker.running.is_empty();
    }
}

/// Guards against accepted jobs that stand still after a version has removed their queue, or
/// replaced it by one of another name.
#[test]
fn accepted_jobs_of_a_removed_queue_end() {
    let (mut world, wall) = world();
    let steps = vec![step(2, 4000, 1000), StepSpec { after: vec![0], ..step(2, 4000, 500) }];
    world.submit(1, job("q-a", steps, wall));
    world.run(300);
    change(&mut world, |config| {
        config.remove_queue(&queue("q-a"));
    });
    world.run(4000);
    assert_eq!(world.open_jobs(), 0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// The same where the leader changes after that, and has never seen the queue.
#[test]
fn accepted_jobs_of_a_removed_queue_end_under_a_new_leader() {
    let (mut world, wall) = world();
    world.submit(1, job("q-a", short(2, 500), wall));
    change(&mut world, |config| {
        config.remove_queue(&queue("q-a"));
    });
    world.change_leader();
    world.run(4000);
    assert_eq!(world.open_jobs(), 0);
}

/// Guards against jobs that are never started because the leader is a version behind the host
/// that accepted them.
#[test]
fn a_job_of_a_queue_that_the_leader_has_not_read_yet_starts() {
    let (mut world, wall) = world();
    let before = Arc::clone(&world.config);
    change(&mut world, |config| {
        let like = config.present_queue(&queue("q-a")).unwrap().clone();
        config.add_queue(queue("q-new"), "host".into(), "/new/".into(), like);
    });
    world.scheduler.set_config(before);
    world.submit(1, job("q-new", short(2, 500), wall));
    world.run(2000);
    assert_eq!(world.open_jobs(), 0);
}

/// Guards against a second attempt of tasks on workers of a pool to which their queue was sent
/// only between its first and its present one.
#[test]
fn tasks_that_started_between_two_moves_of_their_queue_are_held_back() {
    let (mut world, wall) = world();
    world.submit(1, job("q-a", short(2, 30_000), wall));
    send_queue_to(&mut world, "b");
    world.run(1000);
    let running = world.workers.iter().flat_map(|worker| &worker.running).count();
    assert_eq!(running, 2);
    cut_off_busy(&mut world);
    send_queue_to(&mut world, "a");
    world.change_leader();
    world.run(2000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.starts, 2, "a second attempt");
}

/// Guards against jobs that are shown as running because their queue has moved.
#[test]
fn a_job_that_waits_is_queued_after_a_move_and_a_takeover() {
    let (mut world, wall) = world();
    let teamless = |name, count| {
        let spec = job(name, short(count, 4000), wall);
        Arc::new(JobSpec { team: None, ..Arc::unwrap_or_clone(spec) })
    };
    // Both pools are full.
    let fill = [world.submit(1, teamless("q-a", 16)), world.submit(2, teamless("q-b", 16))];
    world.run(400);
    assert!(fill.map(|id| world.scheduler.job_state(id)) == [Some(JobState::Running); 2]);
    let waiting = world.submit(3, teamless("q-a", 1));
    world.run(100);
    send_queue_to(&mut world, "b");
    world.run(500);
    assert_eq!(world.scheduler.job_state(waiting), Some(JobState::Queued));
    world.change_leader();
    assert_eq!(world.scheduler.job_state(waiting), Some(JobState::Queued));
    world.run(300);
    assert_eq!(world.scheduler.pending_jobs(&queue("q-a")), 1);
}

/// Guards against a team without a limit: a version has removed it, and its accepted jobs go on.
#[test]
fn accepted_jobs_of_a_removed_team_keep_its_limit() {
    let (mut world, wall) = world();
    world.submit(1, job("q-a", short(32, 1000), wall));
    change(&mut world, |config| {
        config.remove_team(&team("t"));
    });
    world.run(800);
    let running = world.workers.iter().flat_map(|worker| &worker.running).count();
    assert_eq!(running, 15, "tasks of 4 cores under a limit of 60");
    world.change_leader();
    world.run(15_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.open_jobs(), 0);
}

/// Guards against records of an earlier version, which name no terms.
#[test]
fn jobs_without_terms_run_by_the_present_configuration() {
    let (mut world, wall) = world();
    let spec = JobSpec::clone(&job("q-a", short(2, 500), wall));
    let id = JobId::new(1);
    world.submit_as_stored(id, Arc::new(spec));
    world.run(2000);
    assert_eq!(world.open_jobs(), 0);
}
