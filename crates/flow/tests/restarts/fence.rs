//! When a later life refuses calls to the earlier ones, and what they do until then.

use super::*;

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

/// Guards against a leader that gives up for nothing: a worker refuses a call to its earlier
/// life, and is forgotten when the refusal is read.
#[test]
fn the_refusal_of_a_worker_that_is_forgotten_shows_no_other_leader() {
    let mut world = world();
    let id = worker_id(&world, 0);
    world.restart(0);
    world.run(400);
    assert!(world.scheduler.fence_of(&id).is_some());
    let earlier = world.scheduler.token();
    assert!(world.scheduler.is_superseded(&id, earlier));
    remove(&mut world, 0);
    while world.scheduler.worker_ids().contains(&id) {
        world.step();
    }
    assert!(world.scheduler.is_superseded(&id, earlier));
}

/// Guards against a worker that gets no work any more: it was forgotten and is back, its record
/// is as it was, so that nothing is written and it gets no higher token.
#[test]
fn the_record_of_a_worker_that_is_forgotten_is_written_again() {
    let mut world = world();
    let id = worker_id(&world, 0);
    world.restart(0);
    world.run(400);
    remove(&mut world, 0);
    while world.scheduler.worker_ids().contains(&id) {
        world.scheduler.take_records_changed();
        world.step();
    }
    assert!(world.scheduler.take_records_changed());
}

/// Guards against a task that is done again: the store is silent when its worker starts again, the
/// next life carries out a late start, and forgets its end by a poll of the earlier life.
#[test]
fn an_end_that_a_poll_of_an_earlier_life_forgets_is_not_repeated() {
    let mut broken = Vec::new();
    for poll_ms in (600..900).step_by(20) {
        let mut world = world();
        let wall = world.wall();
        world.submit(3, job("q-a", vec![step(16, 4000, 300)], wall));
        world.run(3000);
        let at = start_late(&mut world, 500);
        world.send_late_poll(at, 40 + poll_ms);
        world.run(40);
        world.start_store_outage(8000);
        world.refuses_stops = true;
        world.restart(at);
        world.delay_late_starts(200);
        world.run(8000);
        world.refuses_stops = false;
        world.run(20_000);
        let violations = std::mem::take(&mut world.violations);
        broken.extend((!violations.is_empty()).then_some((poll_ms, violations)));
    }
    assert!(broken.is_empty(), "{broken:?}");
}

/// Guards against a worker that gets no work for ever, because its record is never written with
/// a higher token.
#[test]
fn a_worker_is_fenced_once_no_call_to_its_earlier_life_can_arrive() {
    let mut world = world();
    let id = worker_id(&world, 0);
    world.start_store_outage(30_000);
    world.restart(0);
    world.run(11_900);
    assert_eq!(world.scheduler.fence_of(&id), None);
    world.run(200);
    assert_eq!(world.scheduler.fence_of(&id), Some(world.scheduler.token()));
}
