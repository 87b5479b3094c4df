//! Calls over TCP through three entry hosts.

mod common;

use std::sync::Arc;

use common::{name, small_site};
use futures_util::future::join_all;
use verbenagap::site::{Answer, Balancer, CallRequest, Caller};
use vg_base::prelude::*;
use vg_entry::ProblemCode;

/// Returns a call to the non-idempotent queue `urgent`.
fn urgent_call() -> CallRequest {
    CallRequest::new("urgent", b"notice", Duration::from_millis(3800))
}

/// Every entry host accepts calls, but only the owner of the pool dispatches them. A call
/// that arrives at another entry host would fail if it were not forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn calls_are_answered_through_every_entry_host() {
    let site = small_site().await;
    let caller = site.caller(&name("bakery"));
    for _ in 0..6 {
        let answer = caller.call(&urgent_call()).await;
        assert_eq!(answer.outcome, Outcome::Answered, "{answer:?}");
        assert_eq!(site.run_log().runs_of(&answer.request_id.unwrap().to_string()), 1);
    }
}

/// A team could exceed its limit by spreading its calls over queues of several pools, since
/// each pool has an owner of its own. The limit must hold for the sum.
#[tokio::test(flavor = "multi_thread")]
async fn team_limit_holds_over_all_queues_and_pools() {
    let site = small_site().await;
    let caller = Arc::new(site.caller(&name("bakery")));
    let calls = (0..200).map(|n| {
        let caller = Arc::clone(&caller);
        let queue = if n % 2 == 0 { "urgent" } else { "feeds" };
        async move { caller.call(&CallRequest::new(queue, b"x", Duration::from_secs(15))).await }
    });
    let answers = join_all(calls).await;
    let answered = answers.iter().filter(|each| each.outcome == Outcome::Answered).count();
    assert!(
        site.run_log().peak("bakery") <= 6,
        "{} calls ran at once",
        site.run_log().peak("bakery")
    );
    assert!(answered > 50, "only {answered} calls were answered");
    assert_eq!(site.run_log().total(), answered);
}

/// A call without a key, with an unknown key or with the key of a team that may not use the
/// queue must be refused before it runs. Only a queue that is open to all needs no key.
#[tokio::test(flavor = "multi_thread")]
async fn calls_need_a_valid_key_of_a_permitted_team() {
    let site = small_site().await;
    let addr = site.nodes().values().next().unwrap().handle.node().call_addr;
    let without_key = Caller::new(Balancer::single(addr), None);
    let wrong_key = Caller::new(Balancer::single(addr), Some("wrong"));
    let code = |answer: Answer| answer.problem.map(|problem| problem.code);
    assert_eq!(code(without_key.call(&urgent_call()).await), Some(ProblemCode::MissingKey));
    assert_eq!(code(wrong_key.call(&urgent_call()).await), Some(ProblemCode::UnknownKey));
    let lookup = CallRequest::new("lookup", b"x", Duration::from_secs(3));
    assert_eq!(without_key.call(&lookup).await.outcome, Outcome::Answered);
    assert_eq!(code(wrong_key.call(&lookup).await), Some(ProblemCode::UnknownKey));
    let public_team = site.caller(&name("public"));
    assert_eq!(code(public_team.call(&urgent_call()).await), Some(ProblemCode::NotPermitted));
    let unknown = CallRequest::new("nowhere", b"x", Duration::from_secs(1));
    assert_eq!(code(public_team.call(&unknown).await), Some(ProblemCode::UnknownQueue));
    assert_eq!(site.run_log().total(), 1);
}

/// An entry host that kept using old lists would accept a withdrawn key. The keys of other
/// teams must keep working.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_is_refused_by_every_entry_host() {
    let site = small_site().await;
    let team: TeamId = name("bakery");
    let caller = site.caller(&team);
    assert_eq!(caller.call(&urgent_call()).await.outcome, Outcome::Answered);
    let (_, uses) = site.list_texts().unwrap();
    let plans = site.team_keys().grant_all_except(common::PLANS, Some(&team)).unwrap();
    let revision = site.change_lists(plans, uses).await.unwrap();
    let in_force = |revision| {
        site.nodes().values().all(|node| node.handle.node().config.current().revision == revision)
    };
    common::eventually("every entry host uses the revision", || in_force(revision)).await;
    for _ in 0..3 {
        let answer = caller.call(&urgent_call()).await;
        assert_eq!(answer.problem.unwrap().code, ProblemCode::UnknownKey);
    }
    let other_team = site.caller(&name("dairy"));
    assert_eq!(other_team.call(&urgent_call()).await.outcome, Outcome::Answered);
}

/// A caller that repeats a call with the same idempotency key reaches other entry hosts in
/// turn. The call must not run again, and the key must not be accepted with another body.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_idempotency_key_replays_the_answer() {
    let site = small_site().await;
    let caller = site.caller(&name("bakery"));
    let call = urgent_call().with_idempotency_key("recall-17");
    let first = caller.call(&call).await;
    assert_eq!(first.outcome, Outcome::Answered, "{first:?}");
    for _ in 0..4 {
        let repeated = caller.call(&call).await;
        assert_eq!(repeated.body, first.body);
        assert!(repeated.replayed);
    }
    assert_eq!(site.run_log().total(), 1);
    let mut changed = call.clone();
    changed.body = b"another notice".to_vec();
    assert_eq!(caller.call(&changed).await.problem.unwrap().code, ProblemCode::KeyReused);
}
