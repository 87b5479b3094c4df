//! Tests of the worker's leases, its refusal of stale attempts, and the operations on
//! tasks.

use std::time::Duration;

use http::{Method, Request};
use serde_json::{Value, json};
use vg_base::ManualClock;
use vg_net::{Client, full_body};
use vg_standin::{RunLog, TaskState, Worker, WorkerSettings};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);

struct TestWorker {
    worker: Worker<ManualClock>,
    clock: ManualClock,
    log: RunLog,
}

impl TestWorker {
    async fn start() -> TestWorker {
        let (clock, log) = (ManualClock::default(), RunLog::new());
        let settings = WorkerSettings::new("w1".parse().unwrap());
        let worker = Worker::start(settings, log.clone(), clock.clone()).await.unwrap();
        TestWorker { worker, clock, log }
    }

    /// Sends a request. Returns the status and the body of the response.
    async fn send(&self, method: Method, path: &str, body: Value) -> (u16, Value) {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.worker.addr()))
            .body(full_body(body.to_string()))
            .unwrap();
        let reply = Client::default().call(request, CALL_TIMEOUT, 1024 * 1024).await.unwrap();
        (reply.status.as_u16(), serde_json::from_slice(&reply.body).unwrap())
    }

    async fn post(&self, path: &str, body: Value) -> (u16, Value) {
        self.send(Method::POST, path, body).await
    }

    async fn list(&self) -> Value {
        self.send(Method::GET, "/tasks", Value::Null).await.1
    }

    fn advance(&self, ms: u64) {
        self.clock.advance(Duration::from_millis(ms));
    }

    fn state(&self, task: &str) -> TaskState {
        let tasks = self.worker.tasks();
        tasks.iter().find(|each| each.task == task).unwrap().state
    }
}

fn task(id: &str, job: u32, attempt: u32) -> Value {
    json!({
        "task": id, "job": format!("{job:032x}").replace("00", "ff"), "attempt": attempt, "team": "bakery",
        "cores": 4, "memory": 8 * 1024, "accelerators": 0, "run_ms": 1000, "lease_ms": 500,
    })
}

fn with_field(mut task: Value, field: &str, value: impl Into<Value>) -> Value {
    task[field] = value.into();
    task
}

/// Guards against tasks that keep running after their lease has expired, and against a late
/// renewal that revives an ended task.
#[tokio::test]
async fn a_renewed_task_finishes_and_an_unrenewed_one_expires() {
    let test_worker = TestWorker::start().await;
    assert_eq!(test_worker.post("/tasks", task("t1", 1, 1)).await.0, 201);
    assert_eq!(test_worker.post("/tasks", with_field(task("t2", 2, 1), "exit", 3)).await.0, 201);
    assert_eq!(test_worker.log.peak("bakery"), 2);
    test_worker.advance(400);
    assert_eq!(test_worker.post("/tasks/t2/renew", json!({"lease_ms": 5000})).await.0, 200);
    test_worker.advance(200);
    assert_eq!(
        (test_worker.state("t1"), test_worker.state("t2")),
        (TaskState::LeaseExpired, TaskState::Running)
    );
    assert_eq!(test_worker.log.running("bakery"), 1);
    test_worker.advance(400);
    assert_eq!(test_worker.state("t2"), TaskState::Finished { exit: 3 });
    assert_eq!(test_worker.log.running("bakery"), 0);
    // A late renewal revives neither task.
    for id in ["t1", "t2"] {
        let (status, body) =
            test_worker.post(&format!("/tasks/{id}/renew"), json!({"lease_ms": 1})).await;
        assert_eq!((status, body["code"].as_str()), (409, Some("ended")));
    }
}

/// Guards against a job that runs twice: the next life of a worker says that it doesn't know an
/// attempt, which the earlier one may have run.
#[tokio::test]
async fn a_query_for_an_attempt_of_another_life_is_no_proof_that_it_never_ran() {
    let test_worker = TestWorker::start().await;
    let incarnation = test_worker.list().await["incarnation"].as_u64().unwrap();
    let path = format!("/jobs/{:032x}/query", 1);
    for (asked, code) in [(incarnation + 1, "other-incarnation"), (incarnation, "no-task")] {
        let query = json!({"attempt": 1, "incarnation": asked});
        let (_, body) = test_worker.post(&path, query).await;
        assert_eq!(body["code"], code);
    }
    assert_eq!(test_worker.post(&path, json!({"attempt": 1})).await.1["code"], "no-task");
}

/// Guards against a job that runs twice: a delayed request to start an earlier attempt
/// must be refused after a later attempt was seen, also if the task was forgotten.
#[tokio::test]
async fn an_attempt_not_above_the_highest_seen_is_refused() {
    let test_worker = TestWorker::start().await;
    assert_eq!(test_worker.post("/tasks", task("t2", 1, 2)).await.0, 201);
    // A repeated request gets the same answer and starts nothing.
    assert_eq!(test_worker.post("/tasks", task("t2", 1, 2)).await.0, 201);
    assert_eq!(test_worker.log.total(), 1);
    for (id, attempt) in [("t1", 1), ("t9", 2)] {
        let (status, body) = test_worker.post("/tasks", task(id, 1, attempt)).await;
        assert_eq!((status, body["code"].as_str()), (409, Some("stale-attempt")));
    }
    assert_eq!(test_worker.post("/tasks", task("t2", 1, 3)).await.1["code"], "taken");
    // The highest attempt is kept when the task is forgotten.
    assert_eq!(test_worker.send(Method::DELETE, "/tasks/t2", Value::Null).await.1["code"], "runs");
    assert_eq!(test_worker.post("/tasks/t2/stop", Value::Null).await.1["state"], "stopped");
    assert_eq!(test_worker.send(Method::DELETE, "/tasks/t2", Value::Null).await.0, 200);
    assert_eq!(test_worker.post("/tasks", task("t2", 1, 2)).await.1["code"], "stale-attempt");
    assert_eq!(test_worker.post("/tasks", task("t3", 1, 3)).await.0, 201);
}

/// Guards against a start request that was delayed and takes effect after its sender has
/// given up waiting for it.
#[tokio::test]
async fn a_delayed_start_is_refused() {
    let test_worker = TestWorker::start().await;
    test_worker.advance(10_000);
    let late = with_field(task("t1", 1, 1), "start_by_ms", 9_999);
    assert_eq!(test_worker.post("/tasks", late).await.1["code"], "too-late");
    let timely = with_field(task("t1", 1, 1), "start_by_ms", 10_000);
    assert_eq!(test_worker.post("/tasks", timely).await.0, 201);
}

/// Guards against a worker that starts more tasks than their declared resources allow,
/// and against a worker that runs out of memory without killing the new task.
#[tokio::test]
async fn tasks_reserve_declared_resources_and_use_real_memory() {
    let test_worker = TestWorker::start().await;
    for at in 1..=4 {
        assert_eq!(test_worker.post("/tasks", task(&format!("t{at}"), at, 1)).await.0, 201);
    }
    let (status, body) = test_worker.post("/tasks", task("t5", 5, 1)).await;
    assert_eq!((status, body["code"].as_str()), (409, Some("no-room")));
    test_worker.post("/tasks/t1/stop", Value::Null).await;
    let larger = with_field(task("t6", 6, 1), "real_memory", 9 * 1024);
    assert_eq!(test_worker.post("/tasks", larger).await.1["exit"], 137);
    test_worker.advance(600);
    let unplaceable = with_field(task("t7", 7, 1), "accelerators", 1);
    assert_eq!(test_worker.post("/tasks", unplaceable).await.1["code"], "no-room");
}

/// Guards against progress that is lost or overstated when a task resumes from a
/// checkpoint, and against throttling without effect.
#[tokio::test]
async fn a_task_resumes_from_a_checkpoint_and_slows_down_when_throttled() {
    let test_worker = TestWorker::start().await;
    test_worker.post("/tasks", with_field(task("t1", 1, 1), "lease_ms", 60_000)).await;
    test_worker.advance(300);
    assert_eq!(test_worker.post("/tasks/t1/checkpoint", Value::Null).await.1["checkpoint_ms"], 300);
    assert_eq!(test_worker.post("/tasks/t1/throttle", json!({"percent": 50})).await.0, 200);
    test_worker.advance(200);
    let stopped = test_worker.post("/tasks/t1/stop", Value::Null).await.1;
    assert_eq!((&stopped["progress_ms"], &stopped["checkpoint_ms"]), (&json!(400), &json!(300)));
    let next = with_field(task("t2", 1, 2), "resume_ms", 300);
    test_worker.post("/tasks", with_field(next, "lease_ms", 60_000)).await;
    test_worker.advance(699);
    assert_eq!(test_worker.state("t2"), TaskState::Running);
    test_worker.advance(1);
    assert_eq!(test_worker.state("t2"), TaskState::Finished { exit: 0 });
}

/// Guards against usage that is reported without the configured delay. Tests would then
/// not cover decisions on outdated usage.
#[tokio::test]
async fn usage_is_reported_with_a_delay() {
    let test_worker = TestWorker::start().await;
    test_worker.post("/tasks", with_field(task("t1", 1, 1), "lease_ms", 60_000)).await;
    test_worker.advance(900);
    assert_eq!(test_worker.list().await["usage"]["cores"], 0);
    test_worker.advance(100);
    assert_eq!(test_worker.list().await["usage"]["cores"], 4);
    assert_eq!(test_worker.list().await["tasks"][0]["state"], "finished");
    test_worker.advance(1000);
    assert_eq!(test_worker.list().await["usage"]["cores"], 0);
}

/// Guards against faults of a worker that have no effect: failing tasks, requests that
/// hang while leases expire, and a kill.
#[tokio::test]
async fn a_worker_fails_tasks_hangs_and_is_killed() {
    let test_worker = TestWorker::start().await;
    let faults = test_worker.worker.faults().clone();
    faults.set_fails(true);
    assert_eq!(test_worker.post("/tasks", task("t1", 1, 1)).await.1["exit"], 1);
    faults.set_fails(false);
    test_worker.post("/tasks", task("t2", 2, 1)).await;
    faults.set_hangs(true);
    let body = json!({"lease_ms": 5000}).to_string();
    let url = format!("http://{}/tasks/t2/renew", test_worker.worker.addr());
    let renewal = Request::post(url).body(full_body(body)).unwrap();
    let renewal =
        tokio::spawn(async move { Client::default().call(renewal, CALL_TIMEOUT, 1024).await });
    test_worker.advance(500);
    assert_eq!(test_worker.state("t2"), TaskState::LeaseExpired);
    faults.set_hangs(false);
    assert_eq!(renewal.await.unwrap().unwrap().status, 409);
    test_worker.post("/tasks", task("t3", 3, 1)).await;
    assert_eq!(test_worker.log.running("bakery"), 1);
    test_worker.worker.kill().await;
    assert_eq!(test_worker.log.running("bakery"), 0);
}
