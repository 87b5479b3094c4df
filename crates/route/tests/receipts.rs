//! Single cases of receipts: replay, limits, retention, gaps and takeover.

use vg_base::prelude::*;
use vg_route::{
    Answer, BeginOutcome, Fingerprint, Header, KeyedRequest, ReceiptKey, ReceiptLimits,
    ReceiptName, ReceiptState, Receipts, RequestKey,
};

const RETENTION: Duration = Duration::from_secs(60);

fn limits() -> ReceiptLimits {
    ReceiptLimits {
        max_receipts: 3,
        max_bytes: 8 * 1024,
        max_answer_bytes: 1024,
        retention: RETENTION,
        max_run_time: Duration::from_secs(10),
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

/// Guards against a key that runs twice, or whose repeated request gets another answer
/// than the first one.
#[test]
fn a_repeated_key_gets_the_same_answer() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
    let key = run(&mut receipts, &request("k", 1, now), now);
    assert_eq!(receipts.begin(&request("k", 2, now), now), BeginOutcome::InProgress);
    receipts.finish(key, Outcome::Answered, Some(answer("done")), now);
    assert_eq!(
        receipts.begin(&request("k", 3, now), now),
        BeginOutcome::Replay(answer("done").into())
    );
}

/// Guards against a request that gets the answer of a different request, because the
/// sender used one key for both.
#[test]
fn another_request_with_the_same_key_is_refused() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
    run(&mut receipts, &request("k", 1, now), now);
    let other = KeyedRequest { fingerprint: Fingerprint(7), ..request("k", 2, now) };
    assert_eq!(receipts.begin(&other, now), BeginOutcome::RequestMismatch);
}

/// Guards against a team's request that is refused or answered because of another team's
/// equal key.
#[test]
fn keys_of_different_teams_are_independent() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
    run(&mut receipts, &request("k", 1, now), now);
    let mut other = request("k", 2, now);
    other.name.team = "b".parse().unwrap();
    run(&mut receipts, &other, now);
}

/// Guards against a key that never runs after an attempt was refused, and against a
/// duplicate message that runs an attempt whose caller was told that it did not run.
#[test]
fn a_refused_key_may_run_again_but_not_its_duplicate() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
    let first = request("k", 1, now);
    let key = run(&mut receipts, &first, now);
    receipts.finish(key, Outcome::NotRun, None, now);
    assert_eq!(receipts.begin(&first, now), BeginOutcome::DuplicateAttempt);
    run(&mut receipts, &request("k", 2, now), now);
}

/// Guards against a running call that is answered as not run when its message arrives a
/// second time.
#[test]
fn a_duplicate_of_a_running_call_gets_no_answer() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
    let first = request("k", 1, now);
    run(&mut receipts, &first, now);
    assert_eq!(receipts.begin(&first, now), BeginOutcome::DuplicateAttempt);
}

/// Guards against a running call that is answered as too late, which would mean that it
/// never ran, when its message arrives a second time after the deadline.
#[test]
fn a_late_duplicate_of_a_running_call_gets_no_answer() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
    let first = request("k", 1, now);
    run(&mut receipts, &first, now);
    assert_eq!(
        receipts.begin(&first, now + Duration::from_secs(11)),
        BeginOutcome::DuplicateAttempt
    );
}

/// Guards against a call that starts after its deadline because its message was delayed.
#[test]
fn a_call_that_arrives_late_is_not_run() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
    let late = request("k", 1, now);
    assert_eq!(receipts.begin(&late, now + Duration::from_secs(11)), BeginOutcome::DeadlinePassed);
}

/// Guards against receipts that are removed before their retention ends to make space for
/// new ones, so that their keys run a second time.
#[test]
fn a_full_table_keeps_receipts_for_their_retention() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
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

/// Guards against a key that runs a second time, because its receipt expired while its
/// call was still running.
#[test]
fn a_running_receipt_never_expires() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
    run(&mut receipts, &request("k", 1, now), now);
    let later = now + RETENTION * 10;
    assert_eq!(receipts.begin(&request("k", 2, later), later), BeginOutcome::InProgress);
}

/// Guards against a key that runs a second time, because its answer was too large to be
/// kept.
#[test]
fn a_key_with_a_large_answer_does_not_run_again() {
    let now = Instant::now();
    let mut receipts = Receipts::new(limits());
    let key = run(&mut receipts, &request("k", 1, now), now);
    receipts.finish(key, Outcome::Answered, Some(answer(&"x".repeat(2000))), now);
    assert_eq!(receipts.begin(&request("k", 2, now), now), BeginOutcome::Unknown);
    assert!(receipts.bytes() < 1000);
}

/// Guards against a lost receipt: one attempt of a key is refused, and the copy is removed
/// although another attempt of the same key may be running.
#[test]
fn a_copy_stays_while_an_attempt_may_have_run() {
    let now = Instant::now();
    let mut copies = Receipts::new(limits());
    let (first, second) = (request("k", 1, now), request("k", 2, now));
    assert!(copies.mirror(&first, now) && copies.mirror(&second, now));
    copies.resolve(&first.name, first.attempt, Outcome::NotRun, None, now);
    assert_eq!(copies.state(&first.name), Some(&ReceiptState::Running));
    copies.resolve(&first.name, second.attempt, Outcome::NotRun, None, now);
    assert_eq!(copies.state(&first.name), None);
}

/// Guards against keys that run a second time at the next owner, because it ignores the
/// running receipts of a lost owner, and against answers that get lost with that owner.
#[test]
fn the_next_owner_replays_only_ended_runs() {
    let now = Instant::now();
    let pool = "calls".parse().unwrap();
    let mut copies = Receipts::new(limits());
    let (open, ended) = (request("open", 1, now), request("ended", 2, now));
    assert!(copies.mirror(&open, now) && copies.mirror(&ended, now));
    copies.resolve(&ended.name, ended.attempt, Outcome::Answered, Some(answer("done")), now);
    let mut owner = Receipts::new(limits());
    owner.record_loss(member("n1"), now);
    assert!(!owner.take_over(&pool, now), "after one loss, a copy of each receipt is left");
    assert_eq!(owner.import(copies.export(&pool, now), now), 0);
    assert_eq!(owner.begin(&request("open", 3, now), now), BeginOutcome::Unknown);
    assert!(matches!(owner.begin(&request("ended", 4, now), now), BeginOutcome::Replay(_)));
    // The earlier owner was only slow. Its answer is that of the single run.
    owner.resolve(&open.name, open.attempt, Outcome::Answered, Some(answer("late")), now);
    assert!(matches!(owner.begin(&request("open", 5, now), now), BeginOutcome::Replay(_)));
}

/// Guards against receipts whose retention starts again with each new owner.
#[test]
fn expired_receipts_are_not_exported() {
    let now = Instant::now();
    let pool = "calls".parse().unwrap();
    let mut copies = Receipts::new(limits());
    let ended = request("ended", 1, now);
    assert!(copies.mirror(&ended, now));
    copies.resolve(&ended.name, ended.attempt, Outcome::Answered, Some(answer("done")), now);
    assert_eq!(copies.export(&pool, now + RETENTION - Duration::from_millis(1)).len(), 1);
    assert!(copies.export(&pool, now + RETENTION).is_empty());
}

/// Guards against keys that run a second time, because both members that held the receipt
/// were lost. Requests that may run twice, or that have no key, are not held back.
#[test]
fn two_losses_open_a_gap() {
    let now = Instant::now();
    let pool: PoolId = "calls".parse().unwrap();
    let mut owner = Receipts::new(limits());
    owner.record_loss(member("n1"), now);
    owner.record_loss(member("n2"), now);
    assert!(owner.take_over(&pool, now));
    assert_eq!(owner.begin(&request("k", 1, now), now), BeginOutcome::Unknown);
    let idempotent = KeyedRequest { idempotent: true, ..request("h", 2, now) };
    run(&mut owner, &idempotent, now);
    let mut keyless = request("k", 3, now);
    keyless.name.key = RequestKey::Request(keyless.attempt);
    run(&mut owner, &keyless, now);
    let end = now + limits().gap_duration();
    run(&mut owner, &request("k", 4, end), end);
}

/// Guards against a gap that is not opened: a member that joined after the first loss takes
/// the pool over after the second one.
#[test]
fn a_new_member_counts_earlier_losses() {
    let now = Instant::now();
    let mut old = Receipts::new(limits());
    old.record_loss(member("n1"), now);
    let later = now + Duration::from_secs(30);
    let mut new = Receipts::new(limits());
    new.import_losses(old.losses(later), later);
    new.record_loss(member("n2"), later);
    assert!(new.take_over(&"calls".parse().unwrap(), later));
}

/// Guards against receipts that a peer cannot read, for example because of binary header
/// values.
#[test]
fn receipts_survive_serialization() {
    let now = Instant::now();
    let mut copies = Receipts::new(limits());
    let ended = request("k", 1, now);
    assert!(copies.mirror(&ended, now));
    copies.resolve(&ended.name, ended.attempt, Outcome::Answered, Some(answer("done")), now);
    let receipts = copies.export(&"calls".parse().unwrap(), now);
    let text = serde_json::to_string(&receipts).unwrap();
    assert_eq!(serde_json::from_str::<Vec<vg_route::Receipt>>(&text).unwrap(), receipts);
    let octets = rmp_serde::to_vec_named(&receipts).unwrap();
    assert_eq!(rmp_serde::from_slice::<Vec<vg_route::Receipt>>(&octets).unwrap(), receipts);
}
