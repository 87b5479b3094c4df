//! Workers: leases, fences and what may be done with a task.

use std::time::Duration;

use http::{Method, Request};
use serde_json::{Value, json};
use vg_base::ManualClock;
use vg_net::{Client, full_body};
use vg_standin::{RunLog, TaskState, Worker, WorkerSettings};

const LIMIT: Duration = Duration::from_secs(5);

struct Bench {
    worker: Worker<ManualClock>,
    clock: ManualClock,
    log: RunLog,
}

impl Bench {
    async fn start() -> Bench {
        let (clock, log) = (ManualClock::default(), RunLog::new());
        let settings = WorkerSettings::new("w1".parse().unwrap());
        let worker = Worker::start(settings, log.clone(), clock.clone()).await.unwrap();
        Bench { worker, clock, log }
    }

    /// Sends a request; returns status and body.
    async fn send(&self, method: Method, path: &str, body: Value) -> (u16, Value) {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.worker.addr()))
            .body(full_body(body.to_string()))
            .unwrap();
        let reply = Client::default().call(request, LIMIT, 1024 * 1024).await.unwrap();
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

fn with(mut task: Value, field: &str, value: impl Into<Value>) -> Value {
    task[field] = value.into();
    task
}

#[tokio::test]
async fn a_renewed_task_finishes_and_one_without_renewal_lapses() {
    let bench = Bench::start().await;
    assert_eq!(bench.post("/tasks", task("t1", 1, 1)).await.0, 201);
    assert_eq!(bench.post("/tasks", with(task("t2", 2, 1), "exit", 3)).await.0, 201);
    assert_eq!(bench.log.peak("bakery"), 2);
    bench.advance(400);
    assert_eq!(bench.post("/tasks/t2/renew", json!({"lease_ms": 5000})).await.0, 200);
    bench.advance(200);
    assert_eq!((bench.state("t1"), bench.state("t2")), (TaskState::Lapsed, TaskState::Running));
    assert_eq!(bench.log.running("bakery"), 1);
    bench.advance(400);
    assert_eq!(bench.state("t2"), TaskState::Finished { exit: 3 });
    assert_eq!(bench.log.running("bakery"), 0);
    // Neither can be brought back by a renewal that comes late.
    for id in ["t1", "t2"] {
        let (status, body) =
            bench.post(&format!("/tasks/{id}/renew"), json!({"lease_ms": 1})).await;
        assert_eq!((status, body["code"].as_str()), (409, Some("ended")));
    }
}

#[tokio::test]
async fn an_attempt_that_is_not_above_the_seen_ones_is_refused() {
    let bench = Bench::start().await;
    assert_eq!(bench.post("/tasks", task("t2", 1, 2)).await.0, 201);
    // A repeated message gets the same answer and starts nothing.
    assert_eq!(bench.post("/tasks", task("t2", 1, 2)).await.0, 201);
    assert_eq!(bench.log.total(), 1);
    for (id, attempt) in [("t1", 1), ("t9", 2)] {
        let (status, body) = bench.post("/tasks", task(id, 1, attempt)).await;
        assert_eq!((status, body["code"].as_str()), (409, Some("stale-attempt")));
    }
    assert_eq!(bench.post("/tasks", task("t2", 1, 3)).await.1["code"], "taken");
    // The fence stays when the task is forgotten.
    assert_eq!(bench.send(Method::DELETE, "/tasks/t2", Value::Null).await.1["code"], "runs");
    assert_eq!(bench.post("/tasks/t2/stop", Value::Null).await.1["state"], "stopped");
    assert_eq!(bench.send(Method::DELETE, "/tasks/t2", Value::Null).await.0, 200);
    assert_eq!(bench.post("/tasks", task("t2", 1, 2)).await.1["code"], "stale-attempt");
    assert_eq!(bench.post("/tasks", task("t3", 1, 3)).await.0, 201);
}

#[tokio::test]
async fn a_start_that_was_long_on_its_way_is_refused() {
    let bench = Bench::start().await;
    bench.advance(10_000);
    let late = with(task("t1", 1, 1), "start_by_ms", 9_999);
    assert_eq!(bench.post("/tasks", late).await.1["code"], "too-late");
    let timely = with(task("t1", 1, 1), "start_by_ms", 10_000);
    assert_eq!(bench.post("/tasks", timely).await.0, 201);
}

#[tokio::test]
async fn tasks_take_room_as_declared_and_memory_as_it_is() {
    let bench = Bench::start().await;
    for at in 1..=4 {
        assert_eq!(bench.post("/tasks", task(&format!("t{at}"), at, 1)).await.0, 201);
    }
    let (status, body) = bench.post("/tasks", task("t5", 5, 1)).await;
    assert_eq!((status, body["code"].as_str()), (409, Some("no-room")));
    bench.post("/tasks/t1/stop", Value::Null).await;
    let larger = with(task("t6", 6, 1), "real_memory", 9 * 1024);
    assert_eq!(bench.post("/tasks", larger).await.1["exit"], 137);
    bench.advance(600);
    let never = with(task("t7", 7, 1), "accelerators", 1);
    assert_eq!(bench.post("/tasks", never).await.1["code"], "no-room");
}

#[tokio::test]
async fn a_checkpoint_is_gone_on_from_and_a_throttled_task_is_slower() {
    let bench = Bench::start().await;
    bench.post("/tasks", with(task("t1", 1, 1), "lease_ms", 60_000)).await;
    bench.advance(300);
    assert_eq!(bench.post("/tasks/t1/checkpoint", Value::Null).await.1["checkpoint_ms"], 300);
    assert_eq!(bench.post("/tasks/t1/throttle", json!({"percent": 50})).await.0, 200);
    bench.advance(200);
    let stopped = bench.post("/tasks/t1/stop", Value::Null).await.1;
    assert_eq!((&stopped["progress_ms"], &stopped["checkpoint_ms"]), (&json!(400), &json!(300)));
    let next = with(task("t2", 1, 2), "resume_ms", 300);
    bench.post("/tasks", with(next, "lease_ms", 60_000)).await;
    bench.advance(699);
    assert_eq!(bench.state("t2"), TaskState::Running);
    bench.advance(1);
    assert_eq!(bench.state("t2"), TaskState::Finished { exit: 0 });
}

#[tokio::test]
async fn usage_is_reported_late() {
    let bench = Bench::start().await;
    bench.post("/tasks", with(task("t1", 1, 1), "lease_ms", 60_000)).await;
    bench.advance(900);
    assert_eq!(bench.list().await["usage"]["cores"], 0);
    bench.advance(100);
    assert_eq!(bench.list().await["usage"]["cores"], 4);
    assert_eq!(bench.list().await["tasks"][0]["state"], "finished");
    bench.advance(1000);
    assert_eq!(bench.list().await["usage"]["cores"], 0);
}

#[tokio::test]
async fn a_worker_fails_everything_hangs_and_dies() {
    let bench = Bench::start().await;
    let faults = bench.worker.faults().clone();
    faults.set_fails(true);
    assert_eq!(bench.post("/tasks", task("t1", 1, 1)).await.1["exit"], 1);
    faults.set_fails(false);
    bench.post("/tasks", task("t2", 2, 1)).await;
    faults.set_hangs(true);
    let body = json!({"lease_ms": 5000}).to_string();
    let url = format!("http://{}/tasks/t2/renew", bench.worker.addr());
    let renewal = Request::post(url).body(full_body(body)).unwrap();
    let renewal = tokio::spawn(async move { Client::default().call(renewal, LIMIT, 1024).await });
    bench.advance(500);
    assert_eq!(bench.state("t2"), TaskState::Lapsed);
    faults.set_hangs(false);
    assert_eq!(renewal.await.unwrap().unwrap().status, 409);
    bench.post("/tasks", task("t3", 3, 1)).await;
    assert_eq!(bench.log.running("bakery"), 1);
    bench.worker.kill().await;
    assert_eq!(bench.log.running("bakery"), 0);
}
