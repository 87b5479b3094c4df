//! Calls over real sockets through three entry hosts.

mod common;

use std::sync::Arc;

use common::{name, small_site};
use futures_util::future::join_all;
use verbenagap::site::{Answer, Balancer, CallRequest, Caller};
use vg_base::prelude::*;
use vg_entry::ProblemCode;

fn urgent() -> CallRequest {
    CallRequest::new("urgent", b"notice", Duration::from_millis(3800))
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_answered_through_every_entry_host() {
    let site = small_site().await;
    let caller = site.caller(&name("bakery"));
    for _ in 0..6 {
        let answer = caller.call(&urgent()).await;
        assert_eq!(answer.outcome, Outcome::Answered, "{answer:?}");
        assert_eq!(site.log().runs_of(&answer.request.unwrap().to_string()), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_team_never_runs_more_than_its_limit_however_it_splits_its_work() {
    let site = small_site().await;
    let caller = Arc::new(site.caller(&name("bakery")));
    let calls = (0..200).map(|n| {
        let caller = Arc::clone(&caller);
        let queue = if n % 2 == 0 { "urgent" } else { "feeds" };
        async move { caller.call(&CallRequest::new(queue, b"x", Duration::from_secs(15))).await }
    });
    let answers = join_all(calls).await;
    let answered = answers.iter().filter(|each| each.outcome == Outcome::Answered).count();
    assert!(site.log().peak("bakery") <= 6, "{} ran at once", site.log().peak("bakery"));
    assert!(answered > 50, "only {answered} were answered");
    assert_eq!(site.log().total(), answered);
}

#[tokio::test(flavor = "multi_thread")]
async fn work_is_taken_only_for_the_team_of_the_key() {
    let site = small_site().await;
    let addr = site.nodes().values().next().unwrap().handle.node().call_addr;
    let nobody = Caller::new(Balancer::of(addr), None);
    let wrong = Caller::new(Balancer::of(addr), Some("wrong"));
    let code = |answer: Answer| answer.problem.map(|problem| problem.code);
    assert_eq!(code(nobody.call(&urgent()).await), Some(ProblemCode::MissingKey));
    assert_eq!(code(wrong.call(&urgent()).await), Some(ProblemCode::UnknownKey));
    let lookup = CallRequest::new("lookup", b"x", Duration::from_secs(3));
    assert_eq!(nobody.call(&lookup).await.outcome, Outcome::Answered);
    assert_eq!(code(wrong.call(&lookup).await), Some(ProblemCode::UnknownKey));
    let public = site.caller(&name("public"));
    assert_eq!(code(public.call(&urgent()).await), Some(ProblemCode::NotPermitted));
    let unknown = CallRequest::new("nowhere", b"x", Duration::from_secs(1));
    assert_eq!(code(public.call(&unknown).await), Some(ProblemCode::UnknownQueue));
    assert_eq!(site.log().total(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_at_every_entry_host() {
    let site = small_site().await;
    let team: TeamId = name("bakery");
    let caller = site.caller(&team);
    assert_eq!(caller.call(&urgent()).await.outcome, Outcome::Answered);
    let (_, uses) = site.texts().unwrap();
    let plans = site.keys().grant_all_but(common::PLANS, Some(&team)).unwrap();
    let revision = site.change_lists(plans, uses).await.unwrap();
    let in_force = |revision| {
        site.nodes().values().all(|node| node.handle.node().config.current().revision == revision)
    };
    common::eventually("the revision is in force", || in_force(revision)).await;
    for _ in 0..3 {
        let answer = caller.call(&urgent()).await;
        assert_eq!(answer.problem.unwrap().code, ProblemCode::UnknownKey);
    }
    let other = site.caller(&name("dairy"));
    assert_eq!(other.call(&urgent()).await.outcome, Outcome::Answered);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_gets_the_same_answer_and_runs_once() {
    let site = small_site().await;
    let caller = site.caller(&name("bakery"));
    let call = urgent().with_key("recall-17");
    let first = caller.call(&call).await;
    assert_eq!(first.outcome, Outcome::Answered, "{first:?}");
    for _ in 0..4 {
        let again = caller.call(&call).await;
        assert_eq!(again.body, first.body);
        assert!(again.replayed);
    }
    assert_eq!(site.log().total(), 1);
    let mut other = call.clone();
    other.body = b"another notice".to_vec();
    assert_eq!(caller.call(&other).await.problem.unwrap().code, ProblemCode::KeyReused);
}
