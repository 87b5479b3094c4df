//! What must not be assumed of a worker that has started again under its id.

#[path = "restarts/fence.rs"]
mod fence;
#[path = "restarts/leases.rs"]
mod leases;
#[path = "restarts/lives.rs"]
mod lives;
mod support;

use support::spec::{job, step};
use support::world::{Faults, STEP_MS, World};
use vg_base::prelude::*;
use vg_flow::{
    Action, AttemptNumber, AttemptOutcome, EndedAttempt, FencingToken, Finding, LeaseCause,
    PollFailure, Report, RunningAttempt, SchedulingRules, StartAnswer, StartCommand, StartReply,
    StepId, StepSpec, TaskId, WorkerIncarnation, WorkerRegistration,
};

/// When a late start arrives, after it was sent.
const LATE_MS: u64 = 9000;

/// Returns a world with two workers in pool `a`. Their clocks are so far that the next life
/// of a worker does not refuse a late start by its deadline.
fn world() -> World {
    let mut world = World::new(1, 4, Faults::default());
    world.run(2 * LATE_MS);
    world
}

/// Returns the same world, where a poll of each worker is open when a start is sent.
fn world_of_open_polls() -> World {
    let mut world = world();
    world.open_polls = true;
    world.run(100);
    world
}

/// Submits a job of one task that takes `ms`. Its first start has no answer and is late.
/// Returns the worker that it was sent to.
fn start_late(world: &mut World, ms: u64) -> usize {
    world.faults.delayed = 1000;
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(1, 4000, ms)], wall));
    let mut late = Vec::new();
    while late.is_empty() {
        world.step();
        late = world.delay_late_starts(LATE_MS);
    }
    world.faults.delayed = 0;
    late[0]
}

fn running(world: &World) -> usize {
    world.workers.iter().map(|worker| worker.running.len()).sum()
}

fn worker_id(world: &World, at: usize) -> HostId {
    world.workers[at].id.parse().unwrap()
}

/// Ends the process of a worker, and its registration.
fn remove(world: &mut World, at: usize) {
    world.workers[at].up = false;
    world.workers[at].running.clear();
    let id = worker_id(world, at);
    world.scheduler.deregister(&id);
}

/// Guards against a task that runs twice at once: a start without an answer is carried out
/// when its worker has started again, while the task runs elsewhere.
#[test]
fn a_late_start_does_not_run_after_a_restart_while_its_task_runs_elsewhere() {
    let mut world = world_of_open_polls();
    let at = start_late(&mut world, 30_000);
    world.workers[at].reachable = false;
    world.run(5500);
    assert_eq!((running(&world), world.workers[at].running.len()), (1, 0));
    world.workers[at].reachable = true;
    world.restart(at);
    world.run(LATE_MS);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!((world.starts, running(&world)), (1, 1));
}

/// Guards against a task that runs again after it is done, in the next life of the worker
/// that had a start without an answer.
#[test]
fn a_late_start_does_not_run_after_a_restart_when_its_task_is_done() {
    for dropped in [false, true] {
        let mut world = world();
        let at = start_late(&mut world, 300);
        world.run(1500);
        assert_eq!((world.starts, world.open_jobs()), (1, 0));
        if dropped {
            // It is away for so long that it is forgotten.
            remove(&mut world, at);
            while world.scheduler.worker_ids().contains(&worker_id(&world, at)) {
                world.step();
            }
        }
        world.restart(at);
        world.run(LATE_MS);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
        assert_eq!(world.starts, 1);
    }
}

/// Guards against a task that is started elsewhere while its worker, whose process has
/// ended, may come back and carry out a start without an answer.
#[test]
fn a_task_waits_while_a_broken_worker_may_return_and_start_it() {
    let mut world = world();
    let at = start_late(&mut world, 30_000);
    remove(&mut world, at);
    // The lease ends after some four seconds.
    world.run(7000);
    assert_eq!(world.starts, 0);
    world.restart(at);
    world.run(300);
    // The stop is answered.
    assert_eq!((world.starts, running(&world)), (1, 1));
    world.run(LATE_MS);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!((world.starts, running(&world)), (1, 1));
}

/// Guards against a task that waits for ever for a worker that does not return.
#[test]
fn a_task_starts_elsewhere_once_no_late_start_can_arrive() {
    let mut world = world();
    let at = start_late(&mut world, 30_000);
    remove(&mut world, at);
    world.run(13_000);
    assert_eq!((world.starts, running(&world)), (1, 1));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against tasks that wait for more than the lease of a worker that is cut off: its
/// clock refuses a late start, and it is in the same life, as its open poll has not broken.
#[test]
fn a_task_does_not_wait_for_a_late_start_at_a_silent_worker() {
    let mut world = world_of_open_polls();
    let at = start_late(&mut world, 30_000);
    world.workers[at].reachable = false;
    world.run(5500);
    assert_eq!((world.starts, running(&world)), (1, 1));
}

/// Guards against tasks that wait for ever for a life that may not be: no poll was open when the
/// start was sent, so that a life that nobody has seen may run it for the longest lease.
#[test]
fn a_task_waits_for_a_life_that_nobody_has_seen_as_long_as_its_lease_may_last() {
    let mut world = world();
    let at = start_late(&mut world, 30_000);
    world.workers[at].reachable = false;
    world.run(10_000);
    assert_eq!((world.starts, running(&world)), (0, 0));
    world.run(1000);
    assert_eq!((world.starts, running(&world)), (1, 1));
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

/// Guards against a crash that counts twice, and a worker that is taken for unreachable: a
/// poll of its earlier life fails after the present one is known.
#[test]
fn a_failed_poll_of_an_earlier_life_says_nothing_of_the_next() {
    let mut world = world();
    let (now, wall) = (world.now(), world.wall());
    world.submit(1, job("q-a", vec![step(1, 4000, 30_000)], wall));
    let (starts, _) = commands(world.scheduler.plan(now, wall));
    let [start] = starts.as_slice() else { panic!("{starts:?}") };
    let id = &start.incarnation.id;
    let poll = world.scheduler.renewal(id, now).unwrap();
    let at = world.workers.iter().position(|worker| worker.id == id.as_str()).unwrap();
    world.ms += 20;
    world.restart(at);
    let now = world.now();
    world.scheduler.poll_failed(&poll, PollFailure::Broken, now);
    assert_eq!(world.scheduler.counts().crashes, 1);
}

/// Returns a continuous task.
fn continuous_task() -> StepSpec {
    StepSpec { continuous: true, max_unavailable: Some(1), ..step(1, 4000, 0) }
}

/// Guards against a task that is stopped although it is at work and the only attempt: its
/// start had no answer, and the next life of its worker has carried it out.
#[test]
fn a_continuous_task_that_a_later_life_started_goes_on() {
    let mut world = world();
    let (now, wall) = (world.now(), world.wall());
    world.submit(1, job("q-a", vec![continuous_task()], wall));
    let (starts, _) = commands(world.scheduler.plan(now, wall));
    let [start] = starts.as_slice() else { panic!("{starts:?}") };
    let (id, task, attempt) = (&start.incarnation.id, start.task, start.attempt);
    world.scheduler.start_answered(task, attempt, StartAnswer::Unanswered, now);
    let running =
        vec![RunningAttempt { task, attempt, checkpoint: "".into(), percent: 100, gauge: 0.0 }];
    let start_ms = Some(start.incarnation.start_ms + 19_000);
    let report = Report { start_ms, clock_ms: 500, running, ended: Vec::new() };
    let mut stops = Vec::new();
    for wait in 1..=20 {
        let now = now + Duration::from_millis(100 * wait);
        world.scheduler.apply_report(id, &report, now, now);
        stops.extend(commands(world.scheduler.plan(now, wall)).1);
    }
    assert!(stops.is_empty(), "{stops:?}");
    assert_eq!(world.scheduler.attempts_on(id), 1);
}

/// Guards against a task that waits for ever, because the next life of its worker answers
/// polls and refuses each stop, and its record can't be written.
#[test]
fn a_task_starts_once_no_late_start_can_arrive_although_no_stop_is_answered() {
    let mut world = world();
    let at = start_late(&mut world, 30_000);
    // The command is lost.
    world.delay_late_starts(60_000);
    world.start_store_outage(20_000);
    world.restart(at);
    world.refuses_stops = true;
    world.run(11_000);
    assert_eq!(world.starts, 0);
    world.run(2500);
    assert_eq!((world.starts, running(&world)), (1, 1));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Returns a registration of a worker of pool `a` on a machine.
fn registration(world: &World, id: &str, start_ms: u64, machine: &str) -> WorkerRegistration {
    let addr = ([127, 0, 0, 1], 900).into();
    WorkerRegistration {
        incarnation: WorkerIncarnation {
            id: id.parse().unwrap(),
            start_ms,
            pool: "a".parse().unwrap(),
            addr,
        },
        zone: "z0".parse().unwrap(),
        draining: false,
        capacity: world.workers[0].capacity,
        labels: vec!["a".into(), "r0".into()],
        machine: Some(machine.into()),
        cold_left: Duration::ZERO,
    }
}

/// Starts a worker again after its wall clock was set back. Returns the start of the life
/// before.
fn restart_set_back(world: &mut World, at: usize) -> u64 {
    world.restart(at);
    world.run(500);
    let before = world.workers[at].start_ms;
    world.workers[at].restart(world.ms);
    world.workers[at].start_ms = before - 1000;
    world.register();
    before
}

/// Guards against a worker that is ignored for ever, and tasks that wait for it for ever,
/// because its wall clock was set back between two of its lives.
#[test]
fn a_worker_whose_clock_was_set_back_is_the_later_life() {
    let mut world = World::new(1, 1, Faults::default());
    world.run(2 * LATE_MS);
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(2, 4000, 2000)], wall));
    world.run(300);
    assert_eq!(running(&world), 2);
    restart_set_back(&mut world, 0);
    // Its registration comes with each heartbeat.
    world.run(500);
    world.register();
    // Polls of an earlier life that acknowledge ends may arrive for 12 s.
    world.run(18_000);
    assert_eq!(world.open_jobs(), 0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a task that runs twice: a registration of an earlier life is read again,
/// whose start is later because the wall clock was set back since.
#[test]
fn a_registration_of_an_earlier_life_does_not_replace_the_later_one() {
    let mut world = world();
    let before = restart_set_back(&mut world, 0);
    world.run(500);
    world.register();
    world.run(14_000);
    let wall = world.wall();
    let spread = StepSpec { best_effort: true, ..step(4, 5000, 30_000) };
    world.submit(1, job("q-a", vec![spread], wall));
    world.run(500);
    assert!(!world.workers[0].running.is_empty());
    let (now, stale) = (world.now(), registration(&world, "w0", before, "m0"));
    world.scheduler.register(&stale, now);
    world.workers[0].reachable = false;
    world.run(3000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(running(&world), 4);
}

/// Guards against tasks that run twice: an earlier worker on the machine is still registered,
/// and its start is later because the machine's wall clock was set back since.
#[test]
fn a_registration_of_an_earlier_worker_on_a_machine_ends_nothing_on_the_later_one() {
    let changes = [None, Some(World::change_leader as fn(&mut World)), Some(World::lead_again)];
    for change in changes {
        let mut world = world();
        let wall = world.wall();
        world.submit(1, job("q-a", vec![step(2, 4000, 30_000)], wall));
        world.run(300);
        let busy = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
        world.workers[busy].reachable = false;
        if let Some(change) = change {
            change(&mut world);
        }
        let machine = world.workers[busy].machine.clone();
        let (now, later) = (world.now(), world.ms + 5000);
        let earlier = registration(&world, "earlier", later, &machine);
        world.scheduler.register(&earlier, now);
        world.run(3000);
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against work that no later leader knows of: a worker whose lease had ended when
/// the records were taken answers before they are written, and they leave it out.
#[test]
fn a_worker_that_the_records_leave_out_gets_no_work() {
    let mut world = world();
    let id = worker_id(&world, 0);
    let poll = world.scheduler.renewal(&id, world.now()).unwrap();
    let lost = world.now();
    world.scheduler.poll_failed(&poll, PollFailure::Silent, lost);
    // The leader's own lease is not confirmed, so that it seals no record.
    let now = lost + Duration::from_secs(6);
    let records = world.scheduler.incarnation_records(now);
    assert!(records.iter().all(|record| record.incarnation.id != id));
    let start_ms = Some(world.workers[0].start_ms);
    let report = Report { start_ms, clock_ms: 30_000, ..Report::default() };
    world.scheduler.apply_report(&id, &report, now - Duration::from_millis(2), now);
    world.scheduler.records_written(&records, FencingToken(200));
    world.scheduler.renewal(&id, now);
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(2, 4000, 30_000)], wall));
    let (starts, _) = commands(world.scheduler.plan(now, wall));
    let on_it = starts.iter().filter(|start| start.incarnation.id == id).count();
    assert_eq!(on_it, 0, "{starts:?}");
}

/// Starts long tasks on all workers of pool `a`.
fn start_long_tasks(world: &mut World, at: usize) {
    let wall = world.wall();
    let spread = StepSpec { best_effort: true, ..step(8, 4000, 60_000) };
    world.submit(2, job("q-a", vec![spread], wall));
    world.run(200);
    assert!(!world.workers[at].running.is_empty());
}

/// Returns the violations once the lease of a worker that is cut off from now on has ended.
fn cut_off(mut world: World, at: usize) -> Vec<String> {
    world.workers[at].reachable = false;
    world.run(25_000);
    world.violations
}

/// Returns the report of a life of a worker that runs these attempts.
fn report_of(start_ms: u64, running: &[(TaskId, AttemptNumber)]) -> Report {
    let row = |&(task, attempt): &(TaskId, AttemptNumber)| RunningAttempt {
        task,
        attempt,
        checkpoint: "".into(),
        percent: 10,
        gauge: 0.0,
    };
    let running = running.iter().map(row).collect();
    Report { start_ms: Some(start_ms), clock_ms: 500, running, ended: Vec::new() }
}
