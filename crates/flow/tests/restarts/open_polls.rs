//! What an open poll shows of the life of its worker, and what it doesn't.

use super::*;

/// Returns the report of a life of a worker with so many ends of another job.
fn report_of_ends(start_ms: u64, count: u32) -> Report {
    let step = StepId { job: JobId::new(7), occurrence: 0, step: 0 };
    let end = |number: u32| EndedAttempt {
        number: number.into(),
        task: TaskId { step, index: number },
        attempt: AttemptNumber(1),
        outcome: AttemptOutcome::Done,
        checkpoint: "".into(),
    };
    Report { ended: (1..=count).map(end).collect(), ..report_of(start_ms, &[]) }
}

/// Returns a world in which worker 0 has started again between two polls, unseen, and is then sent
/// starts whose answers are lost.
fn unseen_between_polls(before_starts: fn(&mut World)) -> World {
    let mut world = world();
    while !world.ms.is_multiple_of(60) {
        world.step();
    }
    world.restart_unseen(0);
    before_starts(&mut world);
    world.faults.unanswered = 1000;
    let wall = world.wall();
    let spread = StepSpec { best_effort: true, ..step(4, 4000, 30_000) };
    world.submit(1, job("q-a", vec![spread], wall));
    world.step();
    world.faults.unanswered = 0;
    assert!(!world.workers[0].running.is_empty());
    world
}

/// Guards against a task that runs twice: the life before ended while no poll was open, and the
/// poll that is open at the start was sent to the life that nobody has seen.
#[test]
fn a_poll_that_is_open_at_an_unknown_life_does_not_show_the_known_one() {
    let world = unseen_between_polls(|world| {
        let (id, now) = (world.workers[0].id.parse().unwrap(), world.now());
        world.scheduler.renewal(&id, now).unwrap();
    });
    let violations = cut_off(world, 0);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Guards against a task that runs twice: the start of an unknown life has no answer, and a poll
/// that is late renews the lease of that life.
#[test]
fn a_late_poll_after_an_unanswered_start_of_an_unknown_life_starts_no_task_twice() {
    let mut broken = Vec::new();
    for delay_ms in [3000, 6000, 9000] {
        let mut world = unseen_between_polls(|_| {});
        world.send_late_poll(0, delay_ms);
        broken.extend(cut_off(world, 0).into_iter().map(|found| (delay_ms, found)));
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against a task that runs twice: a young life ended while no poll was open, the next
/// poll is open at the later one, whose clock reads the same, and that answers the start.
#[test]
fn an_open_poll_does_not_make_the_answer_of_a_later_life_that_of_a_young_one() {
    let mut world = world();
    let young = 20_000;
    let now = world.now();
    let before = |ms| now - Duration::from_millis(ms);
    let after = |ms| now + Duration::from_millis(ms);
    world.draining.extend(0..world.workers.len());
    world.register();
    let earlier = registration(&world, "w-new", young, "m-new");
    let id = earlier.incarnation.id.clone();
    world.scheduler.register(&earlier, before(1100));
    let records = world.scheduler.incarnation_records(before(1050));
    world.scheduler.records_written(&records, FencingToken(1000));
    world.scheduler.renewal(&id, before(1010));
    let report = Report { clock_ms: 300, ..report_of(young, &[]) };
    world.scheduler.apply_report(&id, &report, before(1010), before(1000));
    // The host stands still until now. The later life begins 0.9 s ago.
    world.scheduler.renewal(&id, now).unwrap();
    let wall = world.wall();
    world.submit(1, job("q-a", vec![step(1, 4000, 30_000)], wall));
    let (starts, _) = commands(world.scheduler.plan(now, wall));
    let [start] = starts.as_slice() else { panic!("{starts:?}") };
    assert_eq!(start.incarnation.id, id);
    // The earlier clock would read 1300 now.
    let reply = StartReply { answer: StartAnswer::Started, clock_ms: Some(1160) };
    world.scheduler.start_answered(start.task, start.attempt, reply, after(10));
    let later = registration(&world, "w-new", young + 400, "m-new");
    world.scheduler.register(&later, after(20));
    assert_eq!(world.scheduler.attempts_on(&id), 1, "{:?}", world.scheduler.take_losses());
}

/// Guards against a lease that outlasts the record that the next leader reads: a worker whose
/// first report has a full list of ends is not resolved, so that its record tells when its lease
/// ends, and its lease is renewed all the same.
#[test]
fn a_worker_that_is_not_resolved_by_a_full_report_gets_no_longer_lease() {
    for count in [1, 500] {
        let mut world = world();
        world.run(200);
        let id: HostId = world.workers[0].id.parse().unwrap();
        let start_ms = world.workers[0].start_ms;
        (0..world.workers.len()).for_each(|at| world.workers[at].reachable = false);
        world.change_leader();
        world.step();
        let now = world.now();
        let recorded = |world: &World| {
            let records = world.scheduler.incarnation_records(now);
            let record = records.into_iter().find(|record| record.incarnation.id == id);
            record.and_then(|record| record.remaining)
        };
        assert!(recorded(&world).is_some());
        let report = report_of_ends(start_ms, count);
        world.scheduler.apply_report(&id, &report, now, now);
        let renewal = world.scheduler.renewal(&id, now).unwrap();
        assert!(renewal.deadline_ms.is_none(), "{count} ends: {:?}", recorded(&world));
    }
}
