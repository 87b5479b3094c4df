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

/// Guards against a task that runs twice: the earlier leader has started a job that was accepted
/// after the takeover, and the new one reads that job later.
#[test]
fn a_job_of_the_overlap_that_is_read_late_waits_for_what_the_earlier_leader_may_have_started() {
    let mut world = world();
    world.change_leader();
    (0..world.workers.len()).for_each(|at| world.workers[at].reachable = at != 0);
    let (now, token) = (world.now(), world.scheduler.token().0);
    let after = |ms| now + Duration::from_millis(ms);
    world.scheduler.set_overlap(after(1000));
    world.run(1500);
    let wall = world.wall();
    let spec = job("q-a", vec![step(1, 4000, 30_000)], wall);
    world.scheduler.add_job(JobId::new(1), spec, token + 1, after(1500));
    let (starts, _) = decided(&mut world, 0, 500);
    assert!(starts.is_empty(), "{starts:?}");
    // A job that was accepted after that does not wait.
    world.scheduler.note_revision(token + 10, after(2000));
    let spec = job("q-a", vec![step(1, 4000, 30_000)], wall);
    world.scheduler.add_job(JobId::new(2), spec, token + 11, after(2000));
    let (starts, _) = decided(&mut world, 500, 700);
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!(starts[0].task.step.job, JobId::new(2));
}

/// Guards against a task that runs again: a new leader takes a worker for resolved by a report
/// whose list of ends is full, and the end of the task comes in the next one.
#[test]
fn a_report_with_a_full_list_of_ends_does_not_resolve_what_an_earlier_leader_has_started() {
    let mut world = world();
    let start = start_answered_by_either(&mut world, step(1, 4000, 30_000));
    let id = &start.incarnation.id;
    let at = world.workers.iter().position(|worker| worker.id == id.as_str()).unwrap();
    world.change_leader();
    world.workers[at].reachable = false;
    world.step();
    let other = StepId { job: JobId::new(2), ..start.task.step };
    let end = |number: u32| EndedAttempt {
        number: number.into(),
        task: TaskId { step: other, index: number },
        attempt: start.attempt,
        outcome: AttemptOutcome::Done,
        checkpoint: "".into(),
    };
    let ended = (1..=500).map(end).collect();
    let full = Report { ended, ..report_of(start.incarnation.start_ms, &[]) };
    let now = world.now();
    world.scheduler.apply_report(id, &full, now, now);
    world.run(1500);
    assert_eq!(world.starts, 0);
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

/// Guards against a task that runs twice: a poll that was meant for the earlier life renews the
/// lease of the one that nobody has seen, after that has accepted a start.
#[test]
fn a_poll_may_lengthen_the_lease_of_an_unknown_life_that_has_accepted_a_start() {
    for delay_ms in [20, 400, 3000, 11_000] {
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
        world.ms += 300;
        world.send_late_poll(0, delay_ms);
        let violations = cut_off(world, 0);
        assert!(violations.is_empty(), "{delay_ms} ms: {violations:?}");
    }
}

/// Guards against a task that runs twice: the host stands still until the lease of its worker has
/// ended, and decides before it reads the answer to the start, which a later life has given.
#[test]
fn a_start_whose_answer_is_still_to_be_read_is_not_lost_with_its_worker() {
    let mut world = world();
    let (now, wall) = (world.now(), world.wall());
    world.submit(1, job("q-a", vec![step(1, 4000, 30_000)], wall));
    let polls: Vec<_> = (0..4).map(|at| worker_id(&world, at)).collect();
    let polls: Vec<_> = polls.iter().map(|id| world.scheduler.renewal(id, now).unwrap()).collect();
    let (starts, _) = commands(world.scheduler.plan(now, wall));
    let [start] = starts.as_slice() else { panic!("{starts:?}") };
    let after = |ms| now + Duration::from_millis(ms);
    let poll = polls.iter().find(|poll| poll.incarnation.id == start.incarnation.id).unwrap();
    world.scheduler.poll_failed(poll, PollFailure::Silent, after(5000));
    for poll in polls.iter().filter(|poll| poll.incarnation.id != start.incarnation.id) {
        let (id, start_ms) = (&poll.incarnation.id, poll.incarnation.start_ms);
        world.scheduler.apply_report(id, &report_of(start_ms, &[]), after(4990), after(5000));
        world.scheduler.renewal(id, after(5000));
    }
    let (starts, _) = decided(&mut world, 5000, 5100);
    assert!(starts.is_empty(), "{starts:?}");
    let reply = StartReply { answer: StartAnswer::Started, clock_ms: Some(700) };
    world.scheduler.start_answered(start.task, start.attempt, reply, after(5100));
    let (starts, _) = decided(&mut world, 5120, 10_000);
    assert!(starts.is_empty(), "{starts:?}");
}

/// Guards against a task that runs twice: the host reads the answer of an earlier life late, so
/// that the clock of a later one, which has begun meanwhile, seems to be the same.
#[test]
fn an_answer_that_was_read_late_does_not_make_a_later_life_the_earlier_one() {
    let mut world = world();
    let young = 20_000;
    let now = world.now();
    let before = |ms| now - Duration::from_millis(ms);
    let after = |ms| now + Duration::from_millis(ms);
    world.draining.extend(0..world.workers.len());
    world.register();
    let earlier = registration(&world, "w-new", young, "m-new");
    let id = earlier.incarnation.id.clone();
    world.scheduler.register(&earlier, before(3100));
    let records = world.scheduler.incarnation_records(before(3050));
    world.scheduler.records_written(&records, FencingToken(1000));
    world.scheduler.renewal(&id, before(3050));
    let report = Report { clock_ms: 3000, ..report_of(young, &[]) };
    // The host stands still before it reads the answer. A later life begins meanwhile.
    world.scheduler.apply_report(&id, &report, before(2900), now);
    world.scheduler.renewal(&id, now);
    let start = start_answered_by_either(&mut world, step(1, 4000, 30_000));
    assert_eq!(start.incarnation.id, id);
    let reply = StartReply { answer: StartAnswer::Started, clock_ms: Some(3000) };
    world.scheduler.start_answered(start.task, start.attempt, reply, now);
    let later = registration(&world, "w-new", young + 200, "m-new");
    world.scheduler.register(&later, after(10));
    assert_eq!(world.scheduler.attempts_on(&id), 1);
}

/// Guards against a task that runs twice: its worker is back under its id on another machine,
/// and is taken for gone as another worker answers from the machine that it had.
#[test]
fn a_worker_on_another_machine_than_before_is_not_gone_with_its_former_one() {
    let mut world = world();
    let start = start_answered_by_either(&mut world, step(1, 4000, 30_000));
    let (id, runs) = (&start.incarnation.id, [(start.task, start.attempt)]);
    let later = start.incarnation.start_ms + 19_000;
    let at = world.workers.iter().position(|each| each.id == id.as_str()).unwrap();
    let machine = world.workers[at].machine.clone();
    let now = world.now();
    let after = |ms| now + Duration::from_millis(ms);
    world.scheduler.apply_report(id, &report_of(later, &runs), after(5), after(10));
    let other = registration(&world, "w-other", later, &machine);
    world.scheduler.register(&other, after(20));
    let other = other.incarnation.id;
    world.scheduler.apply_report(&other, &report_of(later, &[]), after(30), after(35));
    let (starts, _) = decided(&mut world, 40, 500);
    assert!(starts.is_empty(), "{starts:?}");
    assert_eq!(world.scheduler.attempts_on(id), 1);
}

/// Guards against a task that runs twice: another worker is said to be on the machine of its
/// worker, which still answers.
#[test]
fn a_worker_that_answers_is_not_gone_for_another_one_on_its_machine() {
    let mut world = world();
    let start = start_answered_by_either(&mut world, step(1, 4000, 30_000));
    let (id, runs) = (&start.incarnation.id, [(start.task, start.attempt)]);
    let start_ms = start.incarnation.start_ms;
    let at = world.workers.iter().position(|each| each.id == id.as_str()).unwrap();
    let machine = world.workers[at].machine.clone();
    let now = world.now();
    let after = |ms| now + Duration::from_millis(ms);
    world.scheduler.apply_report(id, &report_of(start_ms, &runs), after(5), after(10));
    let other = registration(&world, "w-other", start_ms + 10, &machine);
    world.scheduler.register(&other, after(20));
    let other = other.incarnation.id;
    world.scheduler.apply_report(&other, &report_of(start_ms + 10, &[]), after(30), after(35));
    let (starts, _) = decided(&mut world, 40, 500);
    assert!(starts.is_empty(), "{starts:?}");
    world.scheduler.apply_report(id, &report_of(start_ms, &runs), after(400), after(505));
    let (starts, stops) = decided(&mut world, 520, 1500);
    assert!(starts.is_empty() && stops.is_empty(), "{starts:?} {stops:?}");
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
    // The longest lease of the second start ends 12 s after the first one was sent. The poll that
    // has failed may lengthen it as long as it can be on its way.
    decided(&mut world, 2200, 12_000);
    assert_eq!(world.scheduler.attempts_on(&id), 2, "{:?}", world.scheduler.take_losses());
    decided(&mut world, 12_000, 24_700);
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

/// Guards against a task that runs twice: the last answer of a life of its worker waited to be
/// read for as long as the next life has lasted, so that an answer by the next one looks like one
/// by the earlier one, with which the attempt is then taken for lost.
#[test]
fn an_answer_that_waited_to_be_read_tells_no_life_of_a_later_answer() {
    let mut world = world();
    let at = 0;
    let id = worker_id(&world, at);
    // The others take no work.
    world.draining.extend(1..world.workers.len());
    world.register();
    // The process of the leader stands still after it has sent a poll, which is answered.
    let (sent, earlier) = (world.now(), world.workers[at].start_ms);
    let poll = world.scheduler.renewal(&id, sent).unwrap();
    let read = sent + Duration::from_millis(2900);
    let last =
        Report { start_ms: Some(earlier), clock_ms: 2900, running: Vec::new(), ended: Vec::new() };
    world.scheduler.apply_report(&poll.incarnation.id, &last, sent, read);
    let after = |ms| read + Duration::from_millis(ms);
    world.scheduler.renewal(&id, after(1));
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(1, 4000, 30_000)], wall));
    let (starts, _) = commands(world.scheduler.plan(after(2), wall));
    let [start] = starts.as_slice() else { panic!("{starts:?}") };
    // A later life, which has begun after that answer, carries it out.
    let reply = StartReply { answer: StartAnswer::Started, clock_ms: Some(2850) };
    world.scheduler.start_answered(start.task, start.attempt, reply, after(10));
    let machine = world.workers[at].machine.clone();
    let registration = registration(&world, id.as_str(), earlier + 19_000, &machine);
    world.scheduler.register(&registration, after(20));
    assert_eq!(world.scheduler.attempts_on(&id), 1, "taken for lost with the earlier life");
}

/// Guards against a task that runs twice: a life that the leader does not know has accepted its
/// start and is cut off, and a late poll of the life before renews its lease once more.
#[test]
fn a_late_poll_that_reaches_an_unseen_life_starts_no_task_twice() {
    let mut broken = Vec::new();
    for delay_ms in [3000, 6000, 9000] {
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
        world.send_late_poll(0, delay_ms);
        let violations = cut_off(world, 0);
        broken.extend(violations.into_iter().map(|violation| (delay_ms, violation)));
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against a task that runs twice: the leader stands still with the answer to its start
/// unread, so that the lease of its worker ends first, and a life that the leader does not know
/// has accepted the start for longer than that.
#[test]
fn an_attempt_whose_start_is_still_to_be_answered_is_not_lost_with_its_lease() {
    let mut world = world();
    let id = worker_id(&world, 0);
    // The others take no work.
    world.draining.extend(1..world.workers.len());
    world.register();
    let now = world.now();
    let after = |ms| now + Duration::from_millis(ms);
    let poll = world.scheduler.renewal(&id, now).unwrap();
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(1, 4000, 30_000)], wall));
    let (starts, _) = commands(world.scheduler.plan(after(1900), wall));
    let [start] = starts.as_slice() else { panic!("{starts:?}") };
    world.scheduler.poll_failed(&poll, PollFailure::Silent, after(4500));
    let (_, _) = decided(&mut world, 4500, 4520);
    assert!(world.scheduler.take_losses().is_empty());
    let reply = StartReply { answer: StartAnswer::Started, clock_ms: Some(500) };
    world.scheduler.start_answered(start.task, start.attempt, reply, after(4520));
    let _ = decided(&mut world, 4540, 11_000);
    assert_eq!(world.scheduler.attempts_on(&id), 1);
}
