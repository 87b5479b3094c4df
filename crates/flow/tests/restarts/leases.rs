//! Leases that calls to an earlier life of a worker have renewed.

use super::*;

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

/// Guards against a task that runs twice: it is found running on a worker while an attempt of it
/// waits to be named in the record of another one, and is sent after that.
#[test]
fn an_attempt_that_waits_to_be_named_is_not_sent_once_its_task_is_found_running() {
    let (mut world, at) = lengthened_lease();
    world.draining.extend((0..world.workers.len()).filter(|&other| other != at));
    world.register();
    let wall = world.wall();
    let id = world.submit(3, job("q-a", vec![step(1, 4000, 60_000)], wall));
    let now = world.now();
    let (starts, _) = commands(world.scheduler.plan(now, wall));
    assert!(starts.is_empty(), "{starts:?}");
    assert_eq!(world.scheduler.attempts_on(&worker_id(&world, at)), 1);
    let other = worker_id(&world, (at + 2) % 4);
    let task = TaskId { step: StepId { job: id, occurrence: 0, step: 0 }, index: 0 };
    let report = report_of(world.workers[(at + 2) % 4].start_ms, &[(task, AttemptNumber(1))]);
    world.scheduler.apply_report(&other, &report, now, now);
    let records = world.scheduler.incarnation_records(now);
    world.scheduler.records_written(&records, FencingToken(100_000));
    let (starts, stops) = commands(world.scheduler.plan(now, wall));
    assert!(starts.is_empty() && stops.is_empty(), "{starts:?} {stops:?}");
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
    let findings: Vec<_> = losses.iter().map(|lost| lost.proof.finding().clone()).collect();
    assert_eq!(findings, [Finding::LeaseEnded(LeaseCause::Renewed)]);
    assert_eq!(findings[0].to_string(), "lease");
}

/// Guards against a lost attempt whose event names another cause than the one for which its
/// worker was waited for: a late call may have renewed its lease.
#[test]
fn a_late_call_is_the_cause_of_a_lease_until_its_end() {
    let (mut world, at) = lengthened_lease();
    start_long_tasks(&mut world, at);
    world.workers[at].reachable = false;
    world.run(25_000);
    let losses = world.scheduler.take_losses();
    assert!(!losses.is_empty());
    let finding = Finding::LeaseEnded(LeaseCause::LateCall);
    assert!(losses.iter().all(|lost| *lost.proof.finding() == finding), "{losses:?}");
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

/// A way in which the leader changes, and its name.
pub(super) type Change = (&'static str, fn(&mut World));

pub(super) const CHANGES: [Change; 3] = [
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

/// Guards against a task that runs twice: a worker answers the next leader for the first time
/// once no call of the former one can arrive any more, but one has renewed its lease.
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

/// Guards against the same where the leader has forgotten the worker meanwhile, and learns of
/// the present life once no call to the earlier one can arrive any more.
#[test]
fn a_poll_that_arrives_while_its_worker_is_forgotten_starts_no_task_twice() {
    let mut world = World::new(1, 8, Faults::default());
    world.run(2 * LATE_MS);
    let at = 0;
    world.workers[at].clock_drift = 20;
    let id = worker_id(&world, at);
    world.send_late_poll(at, 11_900);
    remove(&mut world, at);
    world.restart_unseen(at);
    world.workers[at].reachable = false;
    while world.scheduler.worker_ids().contains(&id) {
        world.step();
    }
    world.run(12_040);
    start_on_return(&mut world, at);
    let violations = cut_off(world, at);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against a task that runs twice after a further change of the leader: the record that was
/// being written at the first answer does not tell of the longer lease.
#[test]
fn a_record_that_leaves_out_a_longer_lease_permits_no_work() {
    for is_written in [false, true] {
        let mut world = world();
        let id = worker_id(&world, 0);
        world.restart_unseen(0);
        world.forget_record(0);
        world.change_leader();
        let (now, token) = (world.now(), FencingToken(world.scheduler.token().0 + 10));
        let machine = world.workers[0].machine.clone();
        let start_ms = world.workers[0].start_ms;
        let mut registration = registration(&world, id.as_str(), start_ms, &machine);
        registration.incarnation.addr = ([127, 0, 0, 1], 1000).into();
        let after = |ms| now + Duration::from_millis(ms);
        let before = world.scheduler.incarnation_records(now);
        if is_written {
            world.scheduler.records_written(&before, token);
        }
        world.scheduler.apply_report(&id, &report_of(start_ms, &[]), after(10), after(15));
        if !is_written {
            world.scheduler.records_written(&before, token);
        }
        assert!(world.scheduler.register(&registration, after(25)), "written: {is_written}");
        let records = world.scheduler.incarnation_records(after(30));
        world.scheduler.records_written(&records, token);
        assert!(!world.scheduler.register(&registration, after(45)));
    }
}

/// Guards against the same where the records can't be read, and the worker does not answer.
#[test]
fn a_refused_start_and_unreadable_records_start_no_task_twice() {
    let (mut world, at) = lengthened_lease();
    start_long_tasks(&mut world, at);
    world.workers[at].reachable = false;
    world.forget_records();
    world.change_leader();
    let rules = SchedulingRules::default();
    let until = world.now() + Duration::from_millis(1500) + rules.late_lease_bound();
    world.scheduler.mark_all_unresolved(until);
    let violations = cut_off(world, at);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Starts a worker of pool `a` again and waits until it may get work.
fn restart_and_wait(world: &mut World) {
    world.restart(0);
    world.run(500);
}

/// Guards against work that stands still after a takeover: a worker that has started again and
/// is silent then holds back all jobs of its pool, for as long as a late call may have renewed
/// its lease.
#[test]
fn a_new_leader_holds_back_only_named_tasks_of_a_worker_that_has_started_again() {
    let mut world = world();
    restart_and_wait(&mut world);
    let wall = world.wall();
    let spread = StepSpec { best_effort: true, ..step(6, 5000, 60_000) };
    world.submit(1, job("q-a", vec![spread], wall));
    world.run(400);
    assert!(!world.workers[0].running.is_empty());
    let waiting = world.submit(2, job("q-a", vec![step(2, 1000, 500)], wall));
    world.workers[0].reachable = false;
    world.change_leader();
    world.run(1500);
    assert!(world.store[&waiting].end.is_some(), "a job stands still");
    world.run(20_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against work that waits for a record while the store is away, although other workers
/// need none.
#[test]
fn a_task_that_cannot_be_named_starts_on_another_worker() {
    let mut world = world();
    restart_and_wait(&mut world);
    world.start_store_outage(8000);
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(4, 4000, 30_000)], wall));
    world.run(1500);
    assert_eq!(running(&world), 4);
    assert!(world.workers[0].running.is_empty());
}

/// Guards against a start that takes effect although its job was cancelled before it was sent.
#[test]
fn a_task_that_is_cancelled_before_it_is_named_is_not_sent() {
    let mut world = world();
    restart_and_wait(&mut world);
    world.workers[2].reachable = false;
    world.run(1000);
    let (wall, before) = (world.wall(), world.starts);
    let id = world.submit(1, job("q-a", vec![step(2, 4000, 30_000)], wall));
    world.step();
    world.cancel(id);
    world.run(2000);
    assert_eq!(world.starts, before);
    assert_eq!(world.open_jobs(), 0);
}
