//! Tasks that crash each worker that starts them, and the tasks beside them.

mod support;

use support::spec::{job, step};
use support::world::{Faults, World};
use vg_base::prelude::*;
use vg_flow::{JobOutcome, StepId, StepSpec, TaskId};

/// Workers that may crash under a task that is then given up. The bench allows five;
/// one more than two is left for what a takeover can't know.
const MAX_CRASHES: usize = 2;
/// Starts of a task under which each worker crashes.
const MAX_STARTS: usize = 5;

fn first_task(job: u128) -> TaskId {
    TaskId { step: StepId { job: JobId::new(job), occurrence: 0, step: 0 }, index: 0 }
}

/// Returns a world whose workers are busy with short jobs of which none is deadly.
fn busy_world(seed: u64) -> World {
    let mut world = World::new(seed, 8, Faults::default());
    world.run(300);
    submit_short_jobs(&mut world, 100, 10);
    world.run(100);
    world
}

fn submit_short_jobs(world: &mut World, first: u128, count: u128) {
    let wall = world.wall();
    for id in first..first + count {
        world.submit(id, job("q-a", vec![step(4, 1000, 900)], wall));
    }
}

fn outcome(world: &World, job: u128) -> Option<JobOutcome> {
    world.store[&JobId::new(job)].end
}

/// Checks that the jobs of [`submit_short_jobs`] are done.
fn assert_short_jobs_done(world: &World, first: u128, count: u128) {
    for id in first..first + count {
        assert_eq!(outcome(world, id), Some(JobOutcome::Done), "job {id}");
    }
}

/// Crashes a worker that runs something.
fn crash_under_work(world: &mut World) {
    let at = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
    world.crash(at);
}

fn run_deadly(world: &mut World, steps: Vec<StepSpec>, ms: u64) {
    let wall = world.wall();
    world.make_deadly(first_task(1), 10);
    world.submit(1, job("q-a", steps, wall));
    world.run(ms);
}

/// Guards against a task that is started without end although each worker that starts
/// it crashes.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut world = busy_world(1);
    run_deadly(&mut world, vec![step(4, 1000, 900)], 25_000);
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 10);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against speculative attempts that each crash a worker, because a worker that
/// is lost looks like one that is held up.
#[test]
fn a_speculative_task_that_crashes_its_workers_is_given_up() {
    let mut world = busy_world(2);
    let steps = vec![StepSpec { speculative: true, ..step(4, 1000, 900) }];
    run_deadly(&mut world, steps, 25_000);
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 10);
}

/// Guards against an innocent task that is given up because it started together with one
/// that crashes its workers, on the same workers.
#[test]
fn tasks_that_started_beside_a_deadly_one_are_done() {
    let mut world = World::new(3, 4, Faults::default());
    world.run(300);
    let wall = world.wall();
    world.make_deadly(first_task(1), 10);
    for id in 1..9 {
        world.submit(id, job("q-a", vec![step(2, 1000, 900)], wall));
    }
    world.run(25_000);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 2, 7);
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES, "{:?}", world.crashes.under);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against the loss of what is known of a task's crashes when another host leads.
#[test]
fn crashes_are_known_after_a_takeover() {
    let mut world = busy_world(4);
    run_deadly(&mut world, vec![step(4, 1000, 900)], 500);
    assert_eq!(world.crashes_under(first_task(1)), 1);
    world.change_leader();
    world.run(25_000);
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 10);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a task that is started without end because each takeover comes before
/// the crash is durable. One crash more is allowed for each.
#[test]
fn each_takeover_at_the_moment_of_a_crash_costs_at_most_one_more() {
    let mut world = busy_world(5);
    let wall = world.wall();
    world.make_deadly(first_task(1), 10);
    world.submit(1, job("q-a", vec![step(4, 1000, 900)], wall));
    let mut seen = 0;
    for _ in 0..2000 {
        world.step();
        if world.crashes_under(first_task(1)) > seen && seen < 2 {
            seen += 1;
            world.change_leader();
        }
    }
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES + 2, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 10);
}

/// Guards against crashes that are not seen because the worker comes back under its id.
#[test]
fn a_worker_that_comes_back_under_its_id_has_crashed() {
    let mut world = busy_world(6);
    world.crashes.keep_id = true;
    run_deadly(&mut world, vec![step(4, 1000, 900)], 25_000);
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 10);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against crashes that are not seen because no poll failed between.
#[test]
fn a_worker_that_restarts_between_two_polls_has_crashed() {
    let mut world = busy_world(13);
    world.crashes.keep_id = true;
    world.crashes.back_at_once = true;
    run_deadly(&mut world, vec![step(4, 1000, 900)], 25_000);
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 10);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a job that is given up because another host, which has just begun to lead,
/// takes a task that has run for long for one that has just started.
#[test]
fn an_adopted_task_of_unknown_age_is_not_blamed_as_a_young_one() {
    let mut world = World::new(19, 8, Faults::default());
    world.run(300);
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(1, 1000, 8000)], wall));
    world.run(4000);
    world.change_leader();
    world.run(300);
    crash_under_work(&mut world);
    let until = world.ms + 10_000;
    while world.starts < 2 && world.ms < until {
        world.step();
    }
    world.run(100);
    crash_under_work(&mut world);
    world.run(30_000);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Done));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a task that waits without end for proof that its workers have crashed:
/// they never come back, and another host leads.
#[test]
fn a_task_whose_workers_never_come_back_is_tried_again() {
    let mut world = World::new(18, 12, Faults::default());
    world.crashes.gone = true;
    world.run(300);
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(1, 1000, 900)], wall));
    for starts in 1..=2 {
        while world.starts < starts {
            world.step();
        }
        world.run(40);
        let at = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
        world.crash(at);
    }
    world.run(200);
    world.change_leader();
    world.run(15_000);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Done));
}

/// Guards against a crash that is not counted because the answer to the start was lost.
/// The first one may have come before the start, so that two trials are needed.
#[test]
fn a_start_without_an_answer_counts_when_the_worker_crashes() {
    let mut world = busy_world(7);
    world.open_polls = true;
    world.run(100);
    world.faults.unanswered = 1000;
    run_deadly(&mut world, vec![step(1, 1000, 900)], 30_000);
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES + 1, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
}

/// Guards against a job that is given up after one crash under its task: the first worker
/// crashed for another cause before the start reached it.
#[test]
fn a_start_that_never_ran_is_no_crash_under_the_task() {
    let mut world = World::new(17, 8, Faults::default());
    world.run(300);
    let wall = world.wall();
    world.make_deadly(first_task(1), 10);
    world.faults.dropped = 1000;
    world.submit(1, job("q-a", vec![step(1, 1000, 900)], wall));
    world.run(40);
    (0..8).for_each(|at| world.crash(at));
    world.faults.dropped = 0;
    while outcome(&world, 1).is_none() {
        world.step();
    }
    assert_eq!(world.crashes_under(first_task(1)), 2, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
}

/// Guards against a job that is given up after one crash under its task: the worker of its
/// trial crashed before the start reached it.
#[test]
fn a_trial_that_never_ran_is_no_proof() {
    let mut world = World::new(29, 8, Faults::default());
    world.run(300);
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(1, 1000, 900)], wall));
    run_until_started(&mut world, 1);
    world.run(40);
    crash_under_work(&mut world);
    world.faults.dropped = 1000;
    let sent = world.scheduler.counts().starts;
    while world.scheduler.counts().starts == sent {
        world.step();
    }
    let up = (0..world.workers.len()).filter(|&at| world.workers[at].up);
    up.collect::<Vec<_>>().into_iter().for_each(|at| world.crash(at));
    world.faults.dropped = 0;
    world.run(30_000);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Done));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a gang that is started without end: its members can't be tried alone.
#[test]
fn a_gang_with_a_deadly_member_is_given_up() {
    let mut world = busy_world(8);
    let gang = StepSpec { gang: true, ..step(4, 1000, 900) };
    run_deadly(&mut world, vec![gang], 40_000);
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES + 1, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 10);
}

/// Guards against a continuous task that is restarted without end.
#[test]
fn a_continuous_task_that_crashes_its_workers_is_given_up() {
    let mut world = busy_world(9);
    let continuous = StepSpec { continuous: true, max_unavailable: Some(1), ..step(3, 1000, 0) };
    run_deadly(&mut world, vec![continuous], 25_000);
    assert!(world.crashes_under(first_task(1)) <= MAX_CRASHES, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 10);
}

/// Runs until `starts` attempts have started, or for 10 s.
fn run_until_started(world: &mut World, starts: u64) {
    let until = world.ms + 10_000;
    while world.starts < starts && world.ms < until {
        world.step();
    }
}

fn submit_continuous(world: &mut World) {
    let wall = world.wall();
    let continuous = StepSpec { continuous: true, max_unavailable: Some(1), ..step(1, 1000, 0) };
    world.submit(1, job("q-a", vec![continuous], wall));
}

fn is_at_work(world: &World) -> bool {
    world.workers.iter().any(|worker| worker.up && !worker.running.is_empty())
}

/// Guards against a job of continuous tasks that is shown as failed after two crashes of
/// workers that had other causes.
#[test]
fn two_crashes_by_chance_do_not_end_a_continuous_job() {
    for takeover in [false, true] {
        let mut world = World::new(20, 8, Faults::default());
        world.run(300);
        submit_continuous(&mut world);
        for (starts, age_ms) in [(1, 600), (2, 250)] {
            run_until_started(&mut world, starts);
            world.run(age_ms);
            crash_under_work(&mut world);
            world.run(200);
            if takeover {
                world.change_leader();
            }
        }
        world.run(12_000);
        assert_eq!(outcome(&world, 1), None);
        assert!(is_at_work(&world));
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against a job of continuous tasks that is shown as failed because crashes are
/// counted over days, although its task has run for long after each.
#[test]
fn crashes_before_a_long_run_do_not_count_under_a_continuous_task() {
    let mut world = World::new(21, 8, Faults::default());
    world.run(300);
    submit_continuous(&mut world);
    for round in 0..5 {
        for (starts, age_ms) in [(1, 600), (2, 250), (3, 10_000)] {
            run_until_started(&mut world, round * 3 + starts);
            world.run(age_ms);
            crash_under_work(&mut world);
        }
    }
    run_until_started(&mut world, 16);
    assert_eq!(outcome(&world, 1), None);
    assert!(is_at_work(&world));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a continuous task that is started without end because it crashes its
/// workers a while after their start, as workers that crash by chance do.
#[test]
fn a_continuous_task_that_crashes_each_worker_later_is_given_up() {
    for (seed, after_ms) in [(22, 200), (23, 500), (24, 900)] {
        let mut world = busy_world(seed);
        world.make_deadly(first_task(1), after_ms);
        submit_continuous(&mut world);
        world.run(40_000);
        let crashes = world.crashes_under(first_task(1));
        assert!(crashes <= MAX_STARTS, "{after_ms} ms: {:?}", world.crashes.under);
        assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed), "{after_ms} ms");
        assert_short_jobs_done(&world, 100, 10);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against a continuous task that is started without end because its crashes aren't
/// seen at once: its workers' links fall silent, or it has run for seconds.
#[test]
fn crashes_of_unclear_cause_under_a_continuous_task_are_bounded() {
    for (seed, after_ms, silent) in [(26, 10, true), (27, 1500, false), (28, 3000, false)] {
        let mut world = busy_world(seed);
        world.crashes.silent = silent;
        world.make_deadly(first_task(1), after_ms);
        submit_continuous(&mut world);
        world.run(60_000);
        let crashes = world.crashes_under(first_task(1));
        assert!(crashes <= MAX_STARTS, "{after_ms} ms: {:?}", world.crashes.under);
        assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed), "{after_ms} ms");
        assert_short_jobs_done(&world, 100, 10);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against a job of continuous tasks that is shown as failed because one machine has
/// crashed twice, each time just after a start.
#[test]
fn a_machine_that_crashes_twice_does_not_end_a_continuous_job() {
    let mut world = World::new(25, 1, Faults::default());
    world.open_polls = true;
    world.run(300);
    submit_continuous(&mut world);
    for starts in 1..=2 {
        run_until_started(&mut world, starts);
        world.run(40);
        crash_under_work(&mut world);
    }
    world.run(12_000);
    assert_eq!(outcome(&world, 1), None);
    assert!(is_at_work(&world));
}

/// Guards against a task that crashes its workers only after a while, so that others have
/// always started later.
#[test]
fn a_task_that_crashes_its_workers_late_is_given_up() {
    let mut world = World::new(10, 8, Faults::default());
    world.run(300);
    let wall = world.wall();
    world.make_deadly(first_task(1), 1500);
    world.submit(1, job("q-a", vec![step(1, 1000, 3000)], wall));
    for round in 0..60 {
        submit_short_jobs(&mut world, 100 + round * 2, 2);
        world.run(500);
    }
    world.run(10_000);
    assert!(world.crashes_under(first_task(1)) <= 5, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 120);
}

/// Guards against tasks that are given up because workers crash for other causes: all
/// workers of a rack, again and again, while the tasks start.
#[test]
fn tasks_on_racks_that_crash_are_not_given_up() {
    let mut world = World::new(11, 16, Faults::default());
    world.run(300);
    for round in 0..12_u128 {
        submit_short_jobs(&mut world, 100 + round * 8, 8);
        world.run(200);
        let rack = (round as usize % 4) * 4;
        (rack..rack + 4)
            .filter(|&at| world.workers[at].up)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|at| world.crash(at));
        world.run(1800);
    }
    world.run(20_000);
    assert_short_jobs_done(&world, 100, 96);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against starts beside a trial: a crash would have several possible causes, and
/// take more with it.
#[test]
fn nothing_starts_beside_a_trial() {
    let mut world = World::new(14, 8, Faults::default());
    world.run(300);
    let wall = world.wall();
    world.make_deadly(first_task(1), 60);
    world.submit(1, job("q-a", vec![step(1, 1000, 900)], wall));
    for round in 0..120 {
        submit_short_jobs(&mut world, 100 + round, 1);
        world.run(100);
    }
    let crashes = world.crashes.under[&first_task(1)].clone();
    assert_eq!(crashes.len(), 2, "{crashes:?}");
    let (ms, at) = crashes[1];
    let beside = |&&(started, worker, task): &&(u64, usize, TaskId)| {
        worker == at && task != first_task(1) && started + 160 > ms && started <= ms
    };
    let beside: Vec<_> = world.started.iter().filter(beside).collect();
    assert!(beside.is_empty(), "{beside:?}");
}

/// Guards against a task that is started without end because the links to its workers fall
/// silent, so that nobody knows when they crashed.
#[test]
fn a_task_that_crashes_its_workers_behind_silent_links_is_given_up() {
    let mut world = busy_world(15);
    world.crashes.silent = true;
    run_deadly(&mut world, vec![step(4, 1000, 900)], 40_000);
    assert!(world.crashes_under(first_task(1)) <= 5, "{:?}", world.crashes.under);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Failed));
    assert_short_jobs_done(&world, 100, 10);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against blame that stays although the worker has not crashed: a cut broke its
/// connections, and it answers again.
#[test]
fn blame_is_withdrawn_when_the_worker_answers_again() {
    let mut world = World::new(16, 8, Faults::default());
    world.crashes.cuts_break = true;
    world.run(300);
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(8, 1000, 20_000)], wall));
    world.run(100);
    for worker in &mut world.workers {
        worker.reachable = false;
    }
    world.run(400);
    let marks = |world: &World| {
        let progress = world.store[&JobId::new(1)].progress.clone();
        progress.map_or(0, |progress| progress.occurrences[0].crashes.len())
    };
    assert!(marks(&world) > 0, "nobody was blamed");
    for worker in &mut world.workers {
        worker.reachable = true;
    }
    world.run(400);
    assert_eq!(marks(&world), 0);
    world.run(21_000);
    assert_eq!(outcome(&world, 1), Some(JobOutcome::Done));
}

/// Guards against blame for a crash of an earlier life of a worker: the later one has carried
/// out the start, before the leader knew of it.
#[test]
fn a_task_that_a_later_life_runs_is_not_blamed_for_the_crash_of_the_earlier_one() {
    for unanswered in [0, 1000] {
        let mut world = World::new(17, 8, Faults { unanswered, ..Faults::default() });
        world.run(5000);
        let (ms, wall) = (world.ms, world.wall());
        world.workers.iter_mut().for_each(|worker| worker.restart(ms));
        // A stop would end the only attempt.
        world.refuses_stops = true;
        let spec = StepSpec { continuous: true, max_unavailable: Some(1), ..step(4, 1000, 0) };
        world.submit(1, job("q-a", vec![spec], wall));
        while world.starts < 4 {
            world.step();
        }
        world.register();
        world.run(500);
        let progress = world.store[&JobId::new(1)].progress.clone();
        let marks = progress.map_or(0, |progress| progress.occurrences[0].crashes.len());
        assert_eq!(marks, 0, "{unanswered}");
        assert_eq!(world.starts, 4);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against blame for workers that are cut off and run on: their tasks go on
/// like others when they answer again.
#[test]
fn workers_that_are_cut_off_blame_nobody() {
    let mut world = World::new(12, 8, Faults::default());
    world.run(300);
    submit_short_jobs(&mut world, 100, 10);
    for round in 0..8 {
        world.run(150);
        world.workers[round].reachable = false;
        world.run(1000);
        world.workers[round].reachable = true;
    }
    world.run(10_000);
    assert_short_jobs_done(&world, 100, 10);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
