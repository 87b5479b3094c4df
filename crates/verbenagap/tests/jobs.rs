//! Jobs over TCP, with entry hosts, a store and workers.

mod common;

use common::{eventually, name, small_site};
use serde_json::Value;
use verbenagap::site::{Answer, Caller, Site, node_id};
use vg_base::prelude::*;
use vg_entry::ProblemCode;

/// Returns the body of an answer as JSON, or null.
fn json(answer: &Answer) -> Value {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

/// Returns the job state that an answer reports.
fn state(answer: &Answer) -> String {
    json(answer)["state"].as_str().unwrap_or_default().to_owned()
}

/// Submits a job and returns its id. Repeats the request only if the job is known not to
/// have been accepted or the request has an idempotency key.
async fn submit(caller: &Caller, queue: &str, run_time: Duration, key: Option<&str>) -> String {
    let deadline = Instant::now() + common::WAIT_TIMEOUT;
    loop {
        let answer = caller.submit(queue, run_time, key).await;
        if answer.status.is_some_and(|status| status == 202) {
            return json(&answer)["id"].as_str().unwrap().to_owned();
        }
        let may_repeat = answer.outcome == Outcome::NotRun || key.is_some();
        assert!(may_repeat && Instant::now() < deadline, "{answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Waits for a job to end and returns its final state.
async fn final_state(caller: &Caller, id: &str) -> String {
    let deadline = Instant::now() + Duration::from_secs(60);
    loop {
        let answer = caller.job_status(id, 5).await;
        if json(&answer)["ended"] == true {
            return state(&answer);
        }
        assert!(Instant::now() < deadline, "{id} does not end: {answer:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Returns how often a job has been run.
fn run_count(site: &Site, id: &str) -> usize {
    site.run_log().runs_of(id)
}

/// Only the owner of the pool knows a job, so the other entry hosts must forward requests
/// about it. Other teams must not see the job.
#[tokio::test(flavor = "multi_thread")]
async fn job_runs_once_and_is_visible_at_every_entry_host() {
    let site = small_site().await;
    let caller = site.caller(&name("dairy"));
    let id = submit(&caller, "urgent", Duration::from_millis(200), None).await;
    for _ in 0..3 {
        assert_eq!(final_state(&caller, &id).await, "done");
    }
    assert_eq!(run_count(&site, &id), 1);
    let other_team = site.caller(&name("bakery")).job_status(&id, 0).await;
    assert_eq!(other_team.problem.unwrap().code, ProblemCode::UnknownJob);
}

/// A caller whose answer was lost submits the job again with the same idempotency key. That
/// must not create a second job.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_idempotency_key_returns_the_same_job() {
    let site = small_site().await;
    let caller = site.caller(&name("dairy"));
    let run_time = Duration::from_millis(50);
    let first = submit(&caller, "urgent", run_time, Some("trace-1")).await;
    let second = submit(&caller, "urgent", run_time, Some("trace-1")).await;
    assert_eq!(first, second);
    assert_eq!(final_state(&caller, &first).await, "done");
    assert_eq!(run_count(&site, &first), 1);
}

/// A cancelled job whose task kept running would hold capacity of the team and the worker.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_job_is_stopped_on_its_worker() {
    let site = small_site().await;
    let caller = site.caller(&name("dairy"));
    let id = submit(&caller, "feeds", Duration::from_secs(60), None).await;
    eventually("the job runs", || site.run_log().running("dairy") == 1).await;
    caller.cancel(&id).await;
    assert_eq!(final_state(&caller, &id).await, "cancelled");
    assert_eq!(site.run_log().running("dairy"), 0);
}

/// Jobs and calls are dispatched separately. If each kept within the limit alone, a team
/// could run twice its limit.
#[tokio::test(flavor = "multi_thread")]
async fn team_limit_covers_jobs_and_calls_together() {
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
        assert_eq!(final_state(&caller, id).await, "done");
    }
    assert!(site.run_log().peak("bakery") <= 6, "{} runs at once", site.run_log().peak("bakery"));
}

/// All entry hosts crash at once while jobs run. Each acknowledged job must be recovered from
/// the store and end. A non-idempotent job must not run twice; its outcome may be unknown.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_jobs_survive_the_loss_of_all_entry_hosts() {
    let mut site = small_site().await;
    let caller = site.caller(&name("dairy"));
    let mut ids = Vec::new();
    for n in 0..20 {
        let queue = if n % 2 == 0 { "urgent" } else { "feeds" };
        let run_time = Duration::from_millis(if n % 4 == 0 { 50 } else { 3000 });
        ids.push(submit(&caller, queue, run_time, None).await);
    }
    for index in 0..3 {
        site.take_node(&node_id(index)).unwrap().handle.kill().await;
    }
    for index in 0..3 {
        site.start_node(&node_id(index)).await.unwrap();
    }
    assert!(
        site.wait_ready(common::WAIT_TIMEOUT).await,
        "the restarted entry hosts do not become ready"
    );
    let caller = site.caller(&name("dairy"));
    for (n, id) in ids.iter().enumerate() {
        let state = final_state(&caller, id).await;
        let runs = run_count(&site, id);
        if n % 2 == 0 {
            assert!(runs <= 1, "{id} is not idempotent and ran {runs} times");
            assert!(state == "done" || state == "unknown", "{id}: {state}");
        } else {
            assert_eq!(state, "done", "{id}");
        }
    }
    assert!(site.run_log().peak("dairy") <= 40);
}

/// A job that needs more than any worker has would wait for ever if it were accepted.
#[tokio::test(flavor = "multi_thread")]
async fn job_larger_than_every_worker_is_refused() {
    let site = small_site().await;
    let caller = site.caller(&name("dairy"));
    submit(&caller, "urgent", Duration::from_millis(10), None).await;
    let answer = caller.submit_with_cores("urgent", 64_000).await;
    assert_eq!(answer.problem.unwrap().code, ProblemCode::CannotRun);
}

/// After a restart, an entry host does not know the capacity of a worker that never answers.
/// It must accept jobs that fit another worker, and must not claim that a large job can
/// never run, since the silent worker may be large enough.
#[tokio::test(flavor = "multi_thread")]
async fn silent_worker_does_not_block_submissions() {
    let mut site = small_site().await;
    site.take_worker(&name("notices-worker-0")).unwrap().kill().await;
    for index in 0..3 {
        let node = site.take_node(&node_id(index)).unwrap();
        assert!(node.handle.stop(Duration::from_millis(20)).await);
        site.start_node(&node_id(index)).await.unwrap();
        assert!(site.wait_ready(common::WAIT_TIMEOUT).await);
    }
    let caller = site.caller(&name("dairy"));
    let id = submit(&caller, "urgent", Duration::from_millis(20), None).await;
    assert_eq!(final_state(&caller, &id).await, "done");
    let answer = caller.submit_with_cores("urgent", 64_000).await;
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_ne!(
        answer.problem.unwrap().code,
        ProblemCode::CannotRun,
        "the silent worker may be large enough"
    );
}

/// A rolling restart moves running jobs and their permits to another owner. If a job or its
/// permits got lost on the way, the job would run twice or the team would exceed its limit.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_hands_over_running_jobs_and_permits() {
    let mut site = small_site().await;
    let team: TeamId = name("bakery");
    let caller = site.caller(&team);
    let mut ids = Vec::new();
    for _ in 0..6 {
        ids.push(submit(&caller, "feeds", Duration::from_secs(4), None).await);
    }
    eventually("the team's whole limit is in use", || site.run_log().running("bakery") == 6).await;
    for index in 0..3 {
        let node = site.take_node(&node_id(index)).unwrap();
        assert!(node.handle.stop(Duration::from_millis(20)).await, "the planned stop left work");
        site.start_node(&node_id(index)).await.unwrap();
        assert!(site.wait_ready(common::WAIT_TIMEOUT).await);
    }
    for _ in 0..6 {
        ids.push(submit(&caller, "feeds", Duration::from_millis(100), None).await);
    }
    for id in &ids {
        assert_eq!(final_state(&caller, id).await, "done");
        assert_eq!(run_count(&site, id), 1);
    }
    assert!(site.run_log().peak("bakery") <= 6, "{} runs at once", site.run_log().peak("bakery"));
}
