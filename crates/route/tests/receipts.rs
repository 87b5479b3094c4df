//! Receipts: replay, bounds, retention and gaps, case by case.

use vg_base::prelude::*;
use vg_route::{
    Answer, BeginOutcome, Fingerprint, Header, KeyedRequest, ReceiptKey, ReceiptLimits,
    ReceiptName, ReceiptState, Receipts, RequestKey,
};

const RETENTION: Duration = Duration::from_secs(60);

fn bounds() -> ReceiptLimits {
    ReceiptLimits {
        max_receipts: 3,
        max_bytes: 8 * 1024,
        answer_bytes: 1024,
        retention: RETENTION,
        run_time: Duration::from_secs(10),
    }
}

fn request(key: &str, attempt: u128, now: Instant) -> KeyedRequest {
    KeyedRequest {
        name: ReceiptName {
            team: "a".parse().unwrap(),
            queue: "notices".parse().unwrap(),
            key: RequestKey::Caller(key.into()),
        },
        pool: "calls".parse().unwrap(),
        attempt: RequestId::new(attempt),
        deadline: now + Duration::from_secs(10),
        fingerprint: Fingerprint::of(&[b"POST", b"/", key.as_bytes()]),
        idempotent: false,
    }
}

fn answer(body: &str) -> Answer {
    let headers = vec![Header { name: "x-run".into(), value: vec![0, 255] }];
    Answer { status: 200, headers, body: body.into() }
}

fn run(receipts: &mut Receipts, request: &KeyedRequest, now: Instant) -> ReceiptKey {
    match receipts.begin(request, now) {
        BeginOutcome::Run(key) => key,
        other => panic!("{other:?}"),
    }
}

fn member(node: &str) -> Member {
    Member { node: node.parse().unwrap(), incarnation: Incarnation(1) }
}

#[test]
fn a_repeated_key_gets_the_same_whole_answer() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    let key = run(&mut receipts, &request("k", 1, now), now);
    assert_eq!(receipts.begin(&request("k", 2, now), now), BeginOutcome::InProgress);
    receipts.finish(key, Outcome::Answered, Some(answer("done")), now);
    assert_eq!(
        receipts.begin(&request("k", 3, now), now),
        BeginOutcome::Replay(answer("done").into())
    );
}

#[test]
fn another_request_under_the_same_key_is_a_mismatch() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    run(&mut receipts, &request("k", 1, now), now);
    let other = KeyedRequest { fingerprint: Fingerprint(7), ..request("k", 2, now) };
    assert_eq!(receipts.begin(&other, now), BeginOutcome::RequestMismatch);
}

#[test]
fn keys_of_different_teams_never_meet() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    run(&mut receipts, &request("k", 1, now), now);
    let mut other = request("k", 2, now);
    other.name.team = "b".parse().unwrap();
    run(&mut receipts, &other, now);
}

#[test]
fn a_proved_refusal_gives_the_key_up_but_not_to_a_doubled_message() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    let first = request("k", 1, now);
    let key = run(&mut receipts, &first, now);
    receipts.finish(key, Outcome::NotRun, None, now);
    assert_eq!(receipts.begin(&first, now), BeginOutcome::DuplicateAttempt);
    run(&mut receipts, &request("k", 2, now), now);
}

#[test]
fn a_doubled_message_of_a_running_call_gets_no_answer() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    let first = request("k", 1, now);
    run(&mut receipts, &first, now);
    assert_eq!(receipts.begin(&first, now), BeginOutcome::DuplicateAttempt);
}

#[test]
fn a_doubled_message_that_comes_after_the_deadline_of_a_running_call_gets_no_answer() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    let first = request("k", 1, now);
    run(&mut receipts, &first, now);
    assert_eq!(
        receipts.begin(&first, now + Duration::from_secs(11)),
        BeginOutcome::DuplicateAttempt
    );
}

#[test]
fn a_message_that_comes_after_its_deadline_is_not_run() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    let late = request("k", 1, now);
    assert_eq!(receipts.begin(&late, now + Duration::from_secs(11)), BeginOutcome::DeadlinePassed);
}

#[test]
fn a_full_table_refuses_and_forgets_nothing_early() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    for at in 0..3 {
        let key = run(&mut receipts, &request(&format!("k{at}"), at, now), now);
        receipts.finish(key, Outcome::Answered, Some(answer("done")), now);
    }
    let full = BeginOutcome::NoCapacity { retry_after: RETENTION };
    assert_eq!(receipts.begin(&request("more", 9, now), now), full);
    let later = now + RETENTION - Duration::from_millis(1);
    assert!(matches!(receipts.begin(&request("k0", 10, later), later), BeginOutcome::Replay(_)));
    let end = now + RETENTION;
    run(&mut receipts, &request("more", 11, end), end);
}

#[test]
fn a_running_receipt_is_never_forgotten() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    run(&mut receipts, &request("k", 1, now), now);
    let later = now + RETENTION * 10;
    assert_eq!(receipts.begin(&request("k", 2, later), later), BeginOutcome::InProgress);
}

#[test]
fn an_answer_that_does_not_fit_is_unknown_and_not_run_again() {
    let now = Instant::now();
    let mut receipts = Receipts::new(bounds());
    let key = run(&mut receipts, &request("k", 1, now), now);
    receipts.finish(key, Outcome::Answered, Some(answer(&"x".repeat(2000))), now);
    assert_eq!(receipts.begin(&request("k", 2, now), now), BeginOutcome::Unknown);
    assert!(receipts.bytes() < 1000);
}

#[test]
fn a_copy_stays_until_no_attempt_can_have_run() {
    let now = Instant::now();
    let mut copies = Receipts::new(bounds());
    let (first, second) = (request("k", 1, now), request("k", 2, now));
    assert!(copies.mirror(&first, now) && copies.mirror(&second, now));
    copies.resolve(&first.name, first.attempt, Outcome::NotRun, None, now);
    assert_eq!(copies.state(&first.name), Some(&ReceiptState::Running));
    copies.resolve(&first.name, second.attempt, Outcome::NotRun, None, now);
    assert_eq!(copies.state(&first.name), None);
}

#[test]
fn the_next_owner_takes_open_runs_as_unknown_and_replays_ended_ones() {
    let now = Instant::now();
    let pool = "calls".parse().unwrap();
    let mut copies = Receipts::new(bounds());
    let (open, ended) = (request("open", 1, now), request("ended", 2, now));
    assert!(copies.mirror(&open, now) && copies.mirror(&ended, now));
    copies.resolve(&ended.name, ended.attempt, Outcome::Answered, Some(answer("done")), now);
    let mut owner = Receipts::new(bounds());
    owner.record_loss(member("n1"), now);
    assert!(!owner.take_over(&pool, now), "one loss leaves a copy of each receipt");
    assert_eq!(owner.import(copies.export(&pool, now), now), 0);
    assert_eq!(owner.begin(&request("open", 3, now), now), BeginOutcome::Unknown);
    assert!(matches!(owner.begin(&request("ended", 4, now), now), BeginOutcome::Replay(_)));
    // The old owner was only slow: its answer is the one run's answer.
    owner.resolve(&open.name, open.attempt, Outcome::Answered, Some(answer("late")), now);
    assert!(matches!(owner.begin(&request("open", 5, now), now), BeginOutcome::Replay(_)));
}

#[test]
fn a_receipt_whose_retention_is_over_is_not_handed_on() {
    let now = Instant::now();
    let pool = "calls".parse().unwrap();
    let mut copies = Receipts::new(bounds());
    let ended = request("ended", 1, now);
    assert!(copies.mirror(&ended, now));
    copies.resolve(&ended.name, ended.attempt, Outcome::Answered, Some(answer("done")), now);
    assert_eq!(copies.export(&pool, now + RETENTION - Duration::from_millis(1)).len(), 1);
    assert!(copies.export(&pool, now + RETENTION).is_empty());
}

#[test]
fn two_losses_open_a_gap_for_work_that_must_not_run_twice() {
    let now = Instant::now();
    let pool: PoolId = "calls".parse().unwrap();
    let mut owner = Receipts::new(bounds());
    owner.record_loss(member("n1"), now);
    owner.record_loss(member("n2"), now);
    assert!(owner.take_over(&pool, now));
    assert_eq!(owner.begin(&request("k", 1, now), now), BeginOutcome::Unknown);
    let harmless = KeyedRequest { idempotent: true, ..request("h", 2, now) };
    run(&mut owner, &harmless, now);
    let mut keyless = request("k", 3, now);
    keyless.name.key = RequestKey::Request(keyless.attempt);
    run(&mut owner, &keyless, now);
    let end = now + bounds().gap_duration();
    run(&mut owner, &request("k", 4, end), end);
}

#[test]
fn a_new_member_learns_of_earlier_losses() {
    let now = Instant::now();
    let mut old = Receipts::new(bounds());
    old.record_loss(member("n1"), now);
    let later = now + Duration::from_secs(30);
    let mut new = Receipts::new(bounds());
    new.import_losses(old.losses(later), later);
    new.record_loss(member("n2"), later);
    assert!(new.take_over(&"calls".parse().unwrap(), later));
}

#[test]
fn receipts_travel_as_messages() {
    let now = Instant::now();
    let mut copies = Receipts::new(bounds());
    let ended = request("k", 1, now);
    assert!(copies.mirror(&ended, now));
    copies.resolve(&ended.name, ended.attempt, Outcome::Answered, Some(answer("done")), now);
    let receipts = copies.export(&"calls".parse().unwrap(), now);
    let text = serde_json::to_string(&receipts).unwrap();
    assert_eq!(serde_json::from_str::<Vec<vg_route::Receipt>>(&text).unwrap(), receipts);
    let octets = rmp_serde::to_vec_named(&receipts).unwrap();
    assert_eq!(rmp_serde::from_slice::<Vec<vg_route::Receipt>>(&octets).unwrap(), receipts);
}
