//! Jobs over real sockets: entry hosts, store and workers.

mod common;

use common::{eventually, name, small_site};
use serde_json::Value;
use verbenagap::site::{Answer, Caller, Site, node_id};
use vg_base::prelude::*;
use vg_entry::ProblemCode;

fn json(answer: &Answer) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn state(answer: &Answer) -> String {
    json(answer)["state"].as_str().unwrap_or_default().to_owned()
}

/// Submits a job, again while that is proved not to have been taken.
async fn submit(caller: &Caller, queue: &str, run: Duration, key: Option<&str>) -> String {
    let until = Instant::now() + common::PATIENCE;
    loop {
        let answer = caller.submit(queue, run, key).await;
        if answer.status.is_some_and(|status| status == 202) {
            return json(&answer)["id"].as_str().unwrap().to_owned();
        }
        let again = answer.outcome == Outcome::NotRun || key.is_some();
        assert!(again && Instant::now() < until, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Waits for a job's end and returns its state.
async fn end(caller: &Caller, id: &str) -> String {
    let until = Instant::now() + Duration::from_secs(60);
    loop {
        let answer = caller.job(id, 5).await;
        if json(&answer)["ended"] == true {
            return state(&answer);
        }
        assert!(Instant::now() < until, "{id} does not end: {answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn runs(site: &Site, id: &str) -> usize {
    site.log().runs_of(id)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_accepted_run_once_and_told_from_every_entry_host() {
    let site = small_site().await;
    let caller = site.caller(&name("dairy"));
    let id = submit(&caller, "urgent", Duration::from_millis(200), None).await;
    for _ in 0..3 {
        assert_eq!(end(&caller, &id).await, "done");
    }
    assert_eq!(runs(&site, &id), 1);
    let other = site.caller(&name("bakery")).job(&id, 0).await;
    assert_eq!(other.problem.unwrap().code, ProblemCode::UnknownJob);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_key_is_the_same_job() {
    let site = small_site().await;
    let caller = site.caller(&name("dairy"));
    let run = Duration::from_millis(50);
    let first = submit(&caller, "urgent", run, Some("trace-1")).await;
    let second = submit(&caller, "urgent", run, Some("trace-1")).await;
    assert_eq!(first, second);
    assert_eq!(end(&caller, &first).await, "done");
    assert_eq!(runs(&site, &first), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_stops() {
    let site = small_site().await;
    let caller = site.caller(&name("dairy"));
    let id = submit(&caller, "feeds", Duration::from_secs(60), None).await;
    eventually("it runs", || site.log().running("dairy") == 1).await;
    caller.cancel(&id).await;
    assert_eq!(end(&caller, &id).await, "cancelled");
    assert_eq!(site.log().running("dairy"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_and_calls_together_stay_within_the_limit() {
    let site = small_site().await;
    let caller = site.caller(&name("bakery"));
    let mut ids = Vec::new();
    for _ in 0..12 {
        ids.push(submit(&caller, "feeds", Duration::from_millis(400), None).await);
    }
    let calls = (0..30).map(|_| {
        let call = verbenagap::site::CallRequest::new("urgent", b"x", Duration::from_secs(3));
        let caller = site.caller(&name("bakery"));
        async move { caller.call(&call).await }
    });
    futures_util::future::join_all(calls).await;
    for id in &ids {
        assert_eq!(end(&caller, id).await, "done");
    }
    assert!(site.log().peak("bakery") <= 6, "{} ran at once", site.log().peak("bakery"));
}

#[tokio::test(flavor = "multi_thread")]
async fn every_acknowledged_job_survives_the_loss_of_all_entry_hosts_at_once() {
    let mut site = small_site().await;
    let caller = site.caller(&name("dairy"));
    let mut ids = Vec::new();
    for n in 0..20 {
        let queue = if n % 2 == 0 { "urgent" } else { "feeds" };
        let run = Duration::from_millis(if n % 4 == 0 { 50 } else { 3000 });
        ids.push(submit(&caller, queue, run, None).await);
    }
    for at in 0..3 {
        site.take_node(&node_id(at)).unwrap().handle.kill().await;
    }
    for at in 0..3 {
        site.start_node(&node_id(at)).await.unwrap();
    }
    assert!(site.ready(common::PATIENCE).await, "the new entry hosts do not become ready");
    let caller = site.caller(&name("dairy"));
    for (n, id) in ids.iter().enumerate() {
        let state = end(&caller, id).await;
        let runs = runs(&site, id);
        if n % 2 == 0 {
            assert!(runs <= 1, "{id} is not idempotent and ran {runs} times");
            assert!(state == "done" || state == "unknown", "{id}: {state}");
        } else {
            assert_eq!(state, "done", "{id}");
        }
    }
    assert!(site.log().peak("dairy") <= 40);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_no_host_could_hold_is_refused() {
    let site = small_site().await;
    let caller = site.caller(&name("dairy"));
    submit(&caller, "urgent", Duration::from_millis(10), None).await;
    let answer = caller.submit_sized("urgent", 64_000).await;
    assert_eq!(answer.problem.unwrap().code, ProblemCode::CannotRun);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_never_answers_does_not_stop_submissions() {
    let mut site = small_site().await;
    site.take_worker(&name("notices-worker-0")).unwrap().kill().await;
    for at in 0..3 {
        let node = site.take_node(&node_id(at)).unwrap();
        assert!(node.handle.stop(Duration::from_millis(20)).await);
        site.start_node(&node_id(at)).await.unwrap();
        assert!(site.ready(common::PATIENCE).await);
    }
    let caller = site.caller(&name("dairy"));
    let id = submit(&caller, "urgent", Duration::from_millis(20), None).await;
    assert_eq!(end(&caller, &id).await, "done");
    let answer = caller.submit_sized("urgent", 64_000).await;
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_ne!(answer.problem.unwrap().code, ProblemCode::CannotRun, "not proved");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_running_jobs_and_their_units_over() {
    let mut site = small_site().await;
    let team: TeamId = name("bakery");
    let caller = site.caller(&team);
    let mut ids = Vec::new();
    for _ in 0..6 {
        ids.push(submit(&caller, "feeds", Duration::from_secs(4), None).await);
    }
    eventually("all units run", || site.log().running("bakery") == 6).await;
    for at in 0..3 {
        let node = site.take_node(&node_id(at)).unwrap();
        assert!(node.handle.stop(Duration::from_millis(20)).await, "work was left");
        site.start_node(&node_id(at)).await.unwrap();
        assert!(site.ready(common::PATIENCE).await);
    }
    for _ in 0..6 {
        ids.push(submit(&caller, "feeds", Duration::from_millis(100), None).await);
    }
    for id in &ids {
        assert_eq!(end(&caller, id).await, "done");
        assert_eq!(runs(&site, id), 1);
    }
    assert!(site.log().peak("bakery") <= 6, "{} ran at once", site.log().peak("bakery"));
}
