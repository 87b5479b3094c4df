//! In which life of its worker an attempt runs.

use super::leases::CHANGES;
use super::*;

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
    let findings: Vec<_> = losses.iter().map(|lost| lost.proof.finding().clone()).collect();
    assert_eq!(findings, [Finding::LaterLife { start_ms: later }]);
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

/// Returns the violations after a worker has started again unseen, has accepted starts with
/// deadlines by its earlier life's clock, and is cut off before any poll. The leader may change
/// then.
fn cut_off_unknown(change: Option<fn(&mut World)>) -> Vec<String> {
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
    cut_off(world, 0)
}

/// Guards against a task that runs twice: a life that the leader does not know runs it when the
/// worker is cut off.
#[test]
fn a_start_of_an_unknown_life_that_is_cut_off_starts_no_task_twice() {
    let violations = cut_off_unknown(None);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against the same where the leader is lost as well.
#[test]
fn a_start_of_an_unknown_life_and_a_new_leader_start_no_task_twice() {
    let violations = cut_off_unknown(Some(World::change_leader));
    assert!(violations.is_empty(), "{violations:?}");
}

/// Returns the violations after a life that the leader does not know has carried out starts whose
/// answers are lost, as its worker is cut off then. The leader may change.
fn cut_off_unanswered(change: Option<fn(&mut World)>) -> Vec<String> {
    let mut world = world();
    while !world.ms.is_multiple_of(60) {
        world.step();
    }
    world.restart_unseen(0);
    world.faults.unanswered = 1000;
    let wall = world.wall();
    let spread = StepSpec { best_effort: true, ..step(4, 4000, 30_000) };
    world.submit(1, job("q-a", vec![spread], wall));
    world.step();
    world.faults.unanswered = 0;
    assert!(!world.workers[0].running.is_empty());
    world.workers[0].reachable = false;
    if let Some(change) = change {
        change(&mut world);
    }
    cut_off(world, 0)
}

/// Guards against a task that runs twice: nothing is known of the life that runs it, and its
/// worker, which is cut off, is waited for as long as the earlier life's lease lasts.
#[test]
fn an_unanswered_start_of_an_unknown_life_starts_no_task_twice() {
    let violations = cut_off_unanswered(None);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against the same where the leader hands over, or leads again.
#[test]
fn an_unanswered_start_of_an_unknown_life_and_a_handover_start_no_task_twice() {
    let changes = CHANGES.into_iter().filter(|(name, _)| *name != "crash");
    let violations: Vec<_> =
        changes.map(|(name, change)| (name, cut_off_unanswered(Some(change)))).collect();
    assert!(violations.iter().all(|(_, found)| found.is_empty()), "{violations:?}");
}

/// Guards against a wait for the longest lease of a worker that has not started again: the
/// clock in the answer to a start shows the life.
#[test]
fn a_start_whose_answer_fits_the_clock_of_its_worker_waits_for_no_unknown_life() {
    let mut world = world();
    let wall = world.wall();
    while !world.ms.is_multiple_of(60) {
        world.step();
    }
    let spread = StepSpec { best_effort: true, ..step(4, 4000, 30_000) };
    world.submit(1, job("q-a", vec![spread], wall));
    world.step();
    assert!(!world.workers[0].running.is_empty());
    world.workers[0].reachable = false;
    let lost = world.workers[0].running.len();
    world.run(5000);
    assert_eq!(world.starts as usize, 4 + lost);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a task that runs twice: its start was accepted by the next life of its worker,
/// which is cut off before the leader learns of it.
#[test]
fn a_start_that_an_unseen_later_life_has_accepted_and_a_cut_start_no_task_twice() {
    let mut world = world();
    while !world.ms.is_multiple_of(60) {
        world.step();
    }
    world.restart_unseen(0);
    let wall = world.wall();
    let spread = StepSpec { best_effort: true, ..step(4, 4000, 60_000) };
    world.submit(1, job("q-a", vec![spread], wall));
    world.step();
    assert!(!world.workers[0].running.is_empty());
    let violations = cut_off(world, 0);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against a task that runs twice: both lives of its worker are so young that their
/// clocks read nearly the same, so that an answer by the later one looks like one by the
/// earlier one, with which the attempt is then taken for lost.
#[test]
fn an_answer_of_a_later_life_is_not_taken_for_one_of_an_earlier_life_as_young() {
    let (mut started, mut broken) = (0, Vec::new());
    for gap_ms in (20..=200).step_by(20) {
        let mut world = world();
        // The others take no work before the later life is known.
        world.draining.extend(1..world.workers.len());
        world.register();
        world.restart(0);
        let wall = world.wall();
        world.submit(1, job("q-a", vec![step(3, 4000, 10_000)], wall));
        run_with_commits(&mut world, gap_ms);
        if world.starts > 0 {
            continue;
        }
        world.restart_unseen(0);
        run_with_commits(&mut world, 20);
        started += world.starts;
        world.draining.clear();
        world.register();
        world.run(3000);
        broken.extend((!world.violations.is_empty()).then_some(gap_ms));
    }
    assert!(started > 0, "no start reached a later life");
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against the same where the answer to the last poll of the earlier life has waited, as
/// the host stood still: a later life may be as old as the call, and not as its reading.
#[test]
fn an_answer_that_has_waited_does_not_show_how_young_a_later_life_is() {
    let mut world = World::new(1, 4, Faults::default());
    world.draining.extend(1..world.workers.len());
    world.register();
    run_with_commits(&mut world, 600);
    let id = worker_id(&world, 0);
    let (earlier, machine) = (world.workers[0].start_ms, world.workers[0].machine.clone());
    let clock_ms = world.workers[0].clock(world.ms);
    let (now, wall) = (world.now(), world.wall());
    let after = |ms| now + Duration::from_millis(ms);
    world.scheduler.renewal(&id, now).unwrap();
    let report = Report { clock_ms, ..report_of(earlier, &[]) };
    // The later life begins after this report, 0.6 s before it answers the start.
    world.scheduler.apply_report(&id, &report, now, after(2000));
    world.submit(1, job("q-a", vec![step(1, 4000, 30_000)], wall));
    let (starts, _) = commands(world.scheduler.plan(after(2005), wall));
    let [start] = starts.as_slice() else { panic!("{starts:?}") };
    let reply = StartReply { answer: StartAnswer::Started, clock_ms: Some(clock_ms + 20) };
    world.scheduler.start_answered(start.task, start.attempt, reply, after(2010));
    world.draining.clear();
    world.register();
    let later = registration(&world, id.as_str(), earlier + 1500, &machine);
    world.scheduler.register(&later, after(2050));
    let (starts, stops) = decided(&mut world, 2060, 2500);
    assert!(starts.is_empty() && stops.is_empty(), "{starts:?} {stops:?}");
    assert_eq!(world.scheduler.attempts_on(&id), 1);
}

/// Guards against a task that runs twice: a life that the leader does not know carries out two
/// starts, between which the host stood still. The second one lengthens the lease of both.
#[test]
fn a_second_start_of_an_unknown_life_lengthens_the_lease_of_the_first() {
    let mut world = world();
    world.draining.extend(1..world.workers.len());
    world.register();
    let id = worker_id(&world, 0);
    let (now, wall) = (world.now(), world.wall());
    let after = |ms| now + Duration::from_millis(ms);
    let clock_ms = world.workers[0].clock(world.ms);
    let renewal = world.scheduler.renewal(&id, now).unwrap();
    let report = Report { clock_ms, ..report_of(world.workers[0].start_ms, &[]) };
    world.scheduler.apply_report(&id, &report, now, after(5));
    // The clock in the answers is that of a life that has just begun.
    let mut start = |number, at_ms| {
        world.submit(number, job("q-a", vec![step(1, 4000, 60_000)], wall));
        let (starts, _) = commands(world.scheduler.plan(after(at_ms), wall));
        let [start] = starts.as_slice() else { panic!("{starts:?}") };
        let reply = StartReply { answer: StartAnswer::Started, clock_ms: Some(100 + at_ms) };
        world.scheduler.start_answered(start.task, start.attempt, reply, after(at_ms + 5));
    };
    start(1, 10);
    start(2, 2000);
    world.scheduler.poll_failed(&renewal, PollFailure::Silent, after(2100));
    // The longest lease of the second start ends 12 s after the first one was sent.
    decided(&mut world, 2200, 12_000);
    assert_eq!(world.scheduler.attempts_on(&id), 2, "{:?}", world.scheduler.take_losses());
    decided(&mut world, 12_000, 14_000);
    assert_eq!(world.scheduler.attempts_on(&id), 0);
}

/// Runs with a store that answers at once, so that new lives get work early.
fn run_with_commits(world: &mut World, ms: u64) {
    let until = world.ms + ms;
    while world.ms < until {
        world.step();
        world.commit();
    }
}
