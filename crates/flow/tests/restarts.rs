//! What must not be assumed of a worker that has started again under its id.

mod support;

use support::spec::{job, step};
use support::world::{Faults, STEP_MS, World};
use vg_base::prelude::*;
use vg_flow::{
    Action, AttemptNumber, FencingToken, LeaseCause, LossCause, PollFailure, Report,
    RunningAttempt, StartAnswer, StartCommand, StepSpec, TaskId, WorkerIncarnation,
    WorkerRegistration,
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
    let mut world = world();
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
/// clock refuses a late start.
#[test]
fn a_task_does_not_wait_for_a_late_start_at_a_silent_worker() {
    let mut world = world();
    let at = start_late(&mut world, 30_000);
    world.workers[at].reachable = false;
    world.run(5500);
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

/// Guards against a task that runs twice: a late start of an earlier life is refused, but
/// renews the lease of the present one for longer than the leader has asked for, and the
/// worker is cut off then.
#[test]
fn a_late_start_may_lengthen_the_lease_of_the_next_life() {
    let mut world = World::new(1, 8, Faults::default());
    world.run(2 * LATE_MS);
    let at = start_late(&mut world, 60_000);
    world.run(1500);
    world.restart(at);
    world.run(300);
    // Such tasks are spread.
    let wall = world.wall();
    let spread = StepSpec { best_effort: true, ..step(4, 5000, 60_000) };
    world.submit(2, job("q-a", vec![spread], wall));
    world.run(LATE_MS - 1700);
    assert!(!world.workers[at].running.is_empty());
    world.workers[at].reachable = false;
    world.run(20_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
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

/// Guards against the same where the record is written: the next life refuses the late start
/// by its token, so that the task does not wait for the stop.
#[test]
fn a_task_starts_at_once_when_its_worker_refuses_calls_to_its_earlier_life() {
    let mut world = world();
    let at = start_late(&mut world, 30_000);
    world.restart(at);
    world.refuses_stops = true;
    world.run(500);
    assert_eq!((world.starts, running(&world)), (1, 1));
    world.run(LATE_MS);
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

/// Guards against a task that runs twice: a late message to an earlier life has renewed the
/// lease of the present one for longer than its leader asked for, and the next leader counts
/// the lease that leaders ask for.
#[test]
fn a_lengthened_lease_of_a_later_life_holds_over_a_takeover() {
    let mut world = World::new(1, 8, Faults::default());
    world.run(2 * LATE_MS);
    let at = start_late(&mut world, 60_000);
    world.run(1500);
    world.restart(at);
    world.run(300);
    let wall = world.wall();
    let spread = StepSpec { best_effort: true, ..step(4, 5000, 60_000) };
    world.submit(2, job("q-a", vec![spread], wall));
    world.run(LATE_MS - 1700);
    assert!(!world.workers[at].running.is_empty());
    world.workers[at].reachable = false;
    world.change_leader();
    world.run(20_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against the same where the cut breaks the connections of the worker, which does not
/// show that its process has ended.
#[test]
fn a_broken_connection_does_not_end_a_lengthened_lease() {
    let mut world = World::new(1, 8, Faults::default());
    world.crashes.cuts_break = true;
    world.run(2 * LATE_MS);
    let at = start_late(&mut world, 60_000);
    world.run(1500);
    world.restart(at);
    world.run(300);
    let wall = world.wall();
    let spread = StepSpec { best_effort: true, ..step(4, 5000, 60_000) };
    world.submit(2, job("q-a", vec![spread], wall));
    world.run(LATE_MS - 1700);
    assert!(!world.workers[at].running.is_empty());
    world.workers[at].reachable = false;
    world.run(20_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against events that do not tell for how long a leader waits for a worker, and why.
#[test]
fn the_cause_of_a_lease_is_known() {
    let mut world = world();
    let id = worker_id(&world, 0);
    let lease = |world: &World| world.scheduler.lease_of(&id, world.now()).unwrap();
    assert_eq!(lease(&world).cause, LeaseCause::Renewed);
    assert!(lease(&world).remaining > Duration::ZERO);
    world.restart(0);
    assert_eq!(lease(&world).cause, LeaseCause::LateCall);
    assert!(lease(&world).remaining > Duration::from_secs(10));
    assert_eq!(lease(&world).start_ms, world.workers[0].start_ms);
    world.run(500);
    world.workers[0].reachable = false;
    world.change_leader();
    assert_eq!(lease(&world).cause, LeaseCause::Recorded);
    assert!(lease(&world).remaining <= world.scheduler.longest_unresolved(world.now()));
}

/// Guards against a lost attempt whose event does not tell why its worker was waited for.
#[test]
fn the_cause_of_a_lease_is_known_of_a_lost_attempt() {
    let mut world = world();
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(1, 4000, 30_000)], wall));
    world.run(300);
    let at = world.workers.iter().position(|worker| !worker.running.is_empty()).unwrap();
    world.workers[at].reachable = false;
    world.run(5500);
    let losses = world.scheduler.take_losses();
    let causes: Vec<_> = losses.iter().map(|lost| lost.cause).collect();
    assert_eq!(causes, [LossCause::LeaseExpired(LeaseCause::Renewed)]);
    assert_eq!(causes[0].to_string(), "lease");
}

/// When a call to an earlier life arrives, after the next one has begun and is known.
const SHORT_MS: u64 = 40;

/// Returns a world in which a worker has started again, and a start of its earlier life has
/// been refused by the present one but has renewed its lease; and the worker.
fn lengthened_lease() -> (World, usize) {
    let mut world = World::new(1, 8, Faults::default());
    world.run(2 * LATE_MS);
    let at = start_late(&mut world, 60_000);
    world.restart(at);
    world.delay_late_starts(SHORT_MS);
    world.run(800);
    assert!(world.workers[at].running.is_empty());
    (world, at)
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

/// A way in which the leader changes, and its name.
type Change = (&'static str, fn(&mut World));

const CHANGES: [Change; 3] = [
    ("crash", World::change_leader),
    ("planned", World::planned_handover),
    ("same host", World::lead_again),
];

/// Guards against a task that runs twice: a refused start of an earlier life has renewed the
/// lease of the present one, the leader changes, and the worker is cut off after its first
/// answer.
#[test]
fn a_refused_start_and_a_new_leader_that_was_answered_start_no_task_twice() {
    let mut broken = Vec::new();
    for (name, change) in CHANGES {
        let (mut world, at) = lengthened_lease();
        start_long_tasks(&mut world, at);
        change(&mut world);
        world.run(100);
        broken.extend((!cut_off(world, at).is_empty()).then_some(name));
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against the same where the worker is cut off before it has answered the next leader.
#[test]
fn a_refused_start_and_a_new_leader_without_answer_start_no_task_twice() {
    let mut broken = Vec::new();
    for (name, change) in CHANGES {
        let (mut world, at) = lengthened_lease();
        start_long_tasks(&mut world, at);
        world.workers[at].reachable = false;
        change(&mut world);
        broken.extend((!cut_off(world, at).is_empty()).then_some(name));
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against the same over two changes of the leader, the second of which is soon.
#[test]
fn a_refused_start_and_two_new_leaders_start_no_task_twice() {
    let (mut world, at) = lengthened_lease();
    start_long_tasks(&mut world, at);
    world.change_leader();
    world.run(400);
    world.change_leader();
    world.run(100);
    let violations = cut_off(world, at);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against the same without a change of the leader, where the cut breaks connections.
#[test]
fn a_refused_start_and_a_cut_that_breaks_connections_start_no_task_twice() {
    let (mut world, at) = lengthened_lease();
    world.crashes.cuts_break = true;
    start_long_tasks(&mut world, at);
    let violations = cut_off(world, at);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against the same where the worker is about to leave.
#[test]
fn a_refused_start_and_a_cut_of_a_draining_worker_start_no_task_twice() {
    let (mut world, at) = lengthened_lease();
    start_long_tasks(&mut world, at);
    world.draining.insert(at);
    world.register();
    world.run(100);
    let violations = cut_off(world, at);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against the same where the worker starts again twice, and calls to both earlier
/// lives arrive in the third.
#[test]
fn calls_of_two_earlier_lives_and_a_new_leader_start_no_task_twice() {
    for changes in [false, true] {
        let mut world = World::new(1, 8, Faults::default());
        world.run(2 * LATE_MS);
        let at = start_late(&mut world, 60_000);
        world.restart(at);
        // Its clock is so far that a deadline of it is later than any in the next one.
        world.run(4000);
        world.send_late_poll(at, 2 * SHORT_MS);
        world.restart(at);
        world.delay_late_starts(SHORT_MS);
        world.run(800);
        start_long_tasks(&mut world, at);
        if changes {
            world.change_leader();
        }
        world.run(100);
        let violations = cut_off(world, at);
        assert!(violations.is_empty(), "changes: {changes}: {violations:?}");
    }
}

/// Guards against the same where a poll of an earlier life renews the lease of the present
/// one.
#[test]
fn a_poll_of_an_earlier_life_and_a_new_leader_start_no_task_twice() {
    let mut broken = Vec::new();
    for (name, change) in CHANGES {
        let mut world = World::new(1, 8, Faults::default());
        world.run(2 * LATE_MS);
        world.send_late_poll(0, SHORT_MS);
        world.restart(0);
        world.run(800);
        start_long_tasks(&mut world, 0);
        change(&mut world);
        world.run(100);
        broken.extend((!cut_off(world, 0).is_empty()).then_some(name));
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against the same where the former leader has not seen the present life: its calls
/// arrive before the first poll of the next leader.
#[test]
fn calls_of_a_former_leader_before_the_first_poll_start_no_task_twice() {
    let mut broken = Vec::new();
    for (name, change) in CHANGES {
        for poll in [false, true] {
            let mut world = World::new(1, 8, Faults::default());
            world.run(2 * LATE_MS);
            world.refuses_early_starts = true;
            let mut at = 0;
            match poll {
                true => world.send_late_poll(at, STEP_MS),
                false => at = start_late(&mut world, 60_000),
            }
            world.restart_unseen(at);
            change(&mut world);
            world.delay_late_starts(STEP_MS);
            world.run(800);
            start_long_tasks(&mut world, at);
            broken.extend((!cut_off(world, at).is_empty()).then_some((name, poll)));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against a task that runs twice: its start was accepted by the next life of the
/// worker that it was sent to, and the attempt is taken for lost with the earlier one as soon
/// as that life is known.
#[test]
fn an_attempt_that_a_later_life_has_answered_is_not_lost_with_the_earlier_one() {
    let mut broken = Vec::new();
    for registered in [false, true] {
        let mut world = world();
        while !world.ms.is_multiple_of(60) {
            world.step();
        }
        world.restart_unseen(0);
        let wall = world.wall();
        let spread = StepSpec { best_effort: true, ..step(4, 4000, 10_000) };
        world.submit(1, job("q-a", vec![spread], wall));
        world.step();
        assert!(!world.workers[0].running.is_empty());
        if registered {
            world.register();
        }
        world.run(3000);
        broken.extend((!world.violations.is_empty()).then_some(registered));
    }
    assert!(broken.is_empty(), "{broken:?}");
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

/// Starts a task of 30 s, whose start is answered while its worker is still believed to be in
/// its earlier life. Returns the start.
fn start_answered_by_either(world: &mut World, spec: StepSpec) -> StartCommand {
    let (now, wall) = (world.now(), world.wall());
    world.submit(1, job("q-a", vec![spec], wall));
    let (starts, _) = commands(world.scheduler.plan(now, wall));
    let [start] = starts.as_slice() else { panic!("{starts:?}") };
    world.scheduler.start_answered(start.task, start.attempt, StartAnswer::Started, now);
    start.clone()
}

/// Returns the starts and stops that are decided from `from_ms` to `to_ms` from now.
fn decided(world: &mut World, from_ms: u64, to_ms: u64) -> (Vec<StartCommand>, Vec<Action>) {
    let (now, wall) = (world.now(), world.wall());
    let (mut starts, mut stops) = (Vec::new(), Vec::new());
    for wait in (from_ms..to_ms).step_by(20) {
        let found = commands(world.scheduler.plan(now + Duration::from_millis(wait), wall));
        starts.extend(found.0);
        stops.extend(found.1);
    }
    (starts, stops)
}

/// Guards against a task that runs twice: a start was answered before the later life of its
/// worker is known, and it is that life which has carried it out.
#[test]
fn a_task_that_a_later_life_has_started_is_not_lost_with_the_earlier_one() {
    for registered_first in [true, false] {
        let mut world = world();
        let start = start_answered_by_either(&mut world, step(1, 4000, 30_000));
        let (id, runs) = (&start.incarnation.id, [(start.task, start.attempt)]);
        let later = start.incarnation.start_ms + 19_000;
        let now = world.now();
        let after = |ms| now + Duration::from_millis(ms);
        if registered_first {
            let at = world.workers.iter().position(|each| each.id == id.as_str()).unwrap();
            let machine = world.workers[at].machine.clone();
            let registration = registration(&world, id.as_str(), later, &machine);
            world.scheduler.register(&registration, after(10));
        }
        // The poll was sent before the start.
        let before = now - Duration::from_millis(5);
        world.scheduler.apply_report(id, &report_of(later, &[]), before, after(15));
        let (starts, stops) = decided(&mut world, 20, 500);
        assert!(starts.is_empty(), "{starts:?}");
        assert!(stops.is_empty(), "{stops:?}");
        world.scheduler.apply_report(id, &report_of(later, &runs), after(500), after(505));
        let (starts, stops) = decided(&mut world, 520, 1500);
        assert!(starts.is_empty() && stops.is_empty(), "{starts:?} {stops:?}");
        assert_eq!(world.scheduler.attempts_on(id), 1);
    }
}

/// Guards against a task that waits for ever: the later life of its worker answers, and it was
/// the earlier one that had started it.
#[test]
fn a_task_that_a_later_life_does_not_report_has_ended_with_the_earlier_one() {
    let mut world = world();
    let start = start_answered_by_either(&mut world, step(1, 4000, 30_000));
    let id = &start.incarnation.id;
    let later = start.incarnation.start_ms + 19_000;
    let now = world.now();
    let after = |ms| now + Duration::from_millis(ms);
    world.scheduler.apply_report(id, &report_of(later, &[]), after(10), after(15));
    let (starts, _) = decided(&mut world, 20, 500);
    assert_eq!(starts.len(), 1, "{starts:?}");
    let losses = world.scheduler.take_losses();
    let causes: Vec<_> = losses.iter().map(|lost| lost.cause).collect();
    assert_eq!(causes, [LossCause::Restarted]);
}

/// Guards against a task that waits although its worker had reported it: that life has ended,
/// and with it the task.
#[test]
fn a_task_that_an_earlier_life_has_reported_has_ended_with_it() {
    let mut world = world();
    let start = start_answered_by_either(&mut world, step(1, 4000, 30_000));
    let (id, runs) = (&start.incarnation.id, [(start.task, start.attempt)]);
    let (earlier, later) = (start.incarnation.start_ms, start.incarnation.start_ms + 19_000);
    let now = world.now();
    let after = |ms| now + Duration::from_millis(ms);
    world.scheduler.apply_report(id, &report_of(earlier, &runs), after(1), after(5));
    let at = world.workers.iter().position(|each| each.id == id.as_str()).unwrap();
    let machine = world.workers[at].machine.clone();
    let registration = registration(&world, id.as_str(), later, &machine);
    world.scheduler.register(&registration, after(10));
    assert_eq!(world.scheduler.attempts_on(id), 0);
    let (starts, _) = decided(&mut world, 20, 500);
    assert_eq!(starts.len(), 1, "{starts:?}");
}

/// Guards against a task that runs twice: its stop was answered before the later life of its
/// worker is known, where it has not ended yet.
#[test]
fn a_task_that_ends_in_a_later_life_starts_nowhere_else_before() {
    let mut world = world();
    let start = start_answered_by_either(&mut world, continuous_task());
    let (id, runs) = (&start.incarnation.id, [(start.task, start.attempt)]);
    let later = start.incarnation.start_ms + 19_000;
    // Operators drain its zone, so that it is moved.
    let at = world.workers.iter().position(|each| each.id == id.as_str()).unwrap();
    world.drain(support::world::zone_of(&world.workers[at].machine).as_str());
    let (_, stops) = decided(&mut world, 20, 200);
    assert!(!stops.is_empty());
    let now = world.now();
    let after = |ms| now + Duration::from_millis(ms);
    world.scheduler.stop_answered(&start.incarnation, start.task, start.attempt, after(200));
    let before = now - Duration::from_millis(5);
    world.scheduler.apply_report(id, &report_of(later, &[]), before, after(210));
    let (starts, stops) = decided(&mut world, 220, 500);
    assert!(starts.is_empty() && !stops.is_empty(), "{starts:?} {stops:?}");
    world.scheduler.apply_report(id, &report_of(later, &runs), after(205), after(510));
    let (starts, _) = decided(&mut world, 520, 700);
    assert!(starts.is_empty(), "{starts:?}");
    world.scheduler.apply_report(id, &report_of(later, &[]), after(700), after(705));
    let (starts, _) = decided(&mut world, 720, 1500);
    assert_eq!(starts.len(), 1, "{starts:?}");
}

/// Guards against a task that runs again after it is done: a poll after a failed one, which the
/// next life of the worker may answer, acknowledges ends by the numbers of the earlier life.
#[test]
fn a_poll_after_a_failed_one_acknowledges_no_ends() {
    let mut world = world();
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(4, 4000, 300)], wall));
    world.run(1000);
    let id = worker_id(&world, 0);
    let now = world.now();
    let poll = world.scheduler.renewal(&id, now).unwrap();
    assert!(poll.acknowledged > 0);
    world.scheduler.poll_failed(&poll, PollFailure::Broken, now);
    assert_eq!(world.scheduler.renewal(&id, now).unwrap().acknowledged, 0);
    world.run(100);
    let answered = world.scheduler.renewal(&id, world.now()).unwrap();
    assert_eq!(answered.acknowledged, poll.acknowledged);
}

/// Guards against a task that runs twice: the earlier leader did not know of the later life of
/// its worker, which has carried out a start and has not answered the new leader yet.
#[test]
fn a_registration_does_not_resolve_what_an_earlier_leader_has_started() {
    let mut world = world();
    let start = start_answered_by_either(&mut world, step(1, 4000, 30_000));
    let at = world.workers.iter().position(|worker| worker.id == start.incarnation.id.as_str());
    let at = at.unwrap();
    // The new leader reads the registration of the earlier life first.
    world.change_leader();
    world.workers[at].reachable = false;
    world.restart(at);
    world.run(2000);
    assert_eq!(world.starts, 0);
    world.workers[at].reachable = true;
    world.run(500);
    assert_eq!((world.starts, running(&world)), (1, 1));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a task that runs twice: a call of the former leader arrives at the end of
/// the time in which it may, and the next leader reaches the worker only after that.
#[test]
fn a_call_of_a_former_leader_before_a_late_first_answer_starts_no_task_twice() {
    let mut world = World::new(1, 8, Faults::default());
    world.run(2 * LATE_MS);
    world.send_late_poll(0, 11_500);
    world.restart_unseen(0);
    world.workers[0].reachable = false;
    world.change_leader();
    world.run(13_000);
    world.workers[0].reachable = true;
    world.run(800);
    start_long_tasks(&mut world, 0);
    let violations = cut_off(world, 0);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against the same where the worker was dropped, and the registration of its next
/// life is read late.
#[test]
fn a_call_before_a_late_registration_starts_no_task_twice() {
    let mut world = World::new(1, 8, Faults::default());
    world.run(2 * LATE_MS);
    world.send_late_poll(0, 11_900);
    let sent = world.ms;
    remove(&mut world, 0);
    while world.scheduler.worker_ids().contains(&worker_id(&world, 0)) {
        world.step();
    }
    let dropped = world.ms;
    world.run(sent + 11_500 - dropped);
    world.restart_unseen(0);
    world.run(dropped + 12_100 - world.ms);
    world.register();
    world.run(300);
    start_long_tasks(&mut world, 0);
    let violations = cut_off(world, 0);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against a task that runs twice: its start was accepted by a life that the leader does
/// not know, which took the deadline by the earlier one's clock, and the worker is cut off
/// before any poll.
#[test]
fn a_start_of_an_unknown_life_that_is_cut_off_starts_no_task_twice() {
    let mut broken = Vec::new();
    for change in [None, Some(World::change_leader as fn(&mut World))] {
        let mut world = world();
        while !world.ms.is_multiple_of(60) {
            world.step();
        }
        world.restart_unseen(0);
        let wall = world.wall();
        let spread = StepSpec { best_effort: true, ..step(4, 4000, 30_000) };
        world.submit(1, job("q-a", vec![spread], wall));
        world.step();
        assert!(!world.workers[0].running.is_empty());
        world.workers[0].reachable = false;
        if let Some(change) = change {
            change(&mut world);
        }
        broken.extend((!cut_off(world, 0).is_empty()).then_some(change.is_some()));
    }
    assert!(broken.is_empty(), "changes of the leader: {broken:?}");
}

/// Guards against work for a worker that has not seen the higher token: a poll with the lower
/// one was sent just after the time at which the record was written.
#[test]
fn the_answer_to_a_poll_with_the_earlier_token_does_not_show_the_higher_one() {
    let mut world = world();
    let id = worker_id(&world, 0);
    world.restart(0);
    let (now, start_ms) = (world.now(), world.workers[0].start_ms);
    let after = |ms| now + Duration::from_millis(ms);
    let sent = world.scheduler.renewal(&id, after(2)).unwrap();
    let records = world.scheduler.incarnation_records(now);
    let token = FencingToken(world.scheduler.token().0 + 1000);
    world.scheduler.records_written(&records, token);
    assert!(sent.token < token);
    world.scheduler.apply_report(&id, &report_of(start_ms, &[]), after(2), after(5));
    assert_eq!(world.scheduler.fence_of(&id), None);
    let sent = world.scheduler.renewal(&id, after(20)).unwrap();
    assert_eq!(sent.token, token);
    world.scheduler.apply_report(&id, &report_of(start_ms, &[]), after(20), after(25));
    assert_eq!(world.scheduler.fence_of(&id), Some(token));
}

/// Lets a worker answer again, and starts long tasks on all workers of pool `a` once it can be
/// given work.
fn start_on_return(world: &mut World, at: usize) {
    world.workers[at].reachable = true;
    world.register();
    world.run(160);
    let wall = world.wall();
    world.submit(2, job("q-a", vec![step(13, 4000, 60_000)], wall));
    world.run(100);
    assert!(!world.workers[at].running.is_empty());
}

/// Guards against the same where the worker answers the next leader for the first time once no
/// call of the former one can arrive any more.
#[test]
fn a_poll_of_a_former_leader_before_a_late_first_answer_starts_no_task_twice() {
    let mut world = World::new(1, 8, Faults::default());
    world.run(2 * LATE_MS);
    let at = 0;
    world.workers[at].clock_drift = 20;
    world.restart_unseen(at);
    world.send_late_poll(at, 11_900);
    world.workers[at].reachable = false;
    world.change_leader();
    world.run(12_040);
    start_on_return(&mut world, at);
    let violations = cut_off(world, at);
    assert!(violations.is_empty(), "{violations:?}");
}
