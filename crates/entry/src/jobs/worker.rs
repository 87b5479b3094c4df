//! Messages to a worker.

use std::net::SocketAddr;

use http::{Method, Request};
use serde::{Deserialize, Serialize};
use serde_json::json;
use vg_base::prelude::*;
use vg_jobs::{Attempt, Report, Resources, Start, Task};
use vg_net::{Client, Reply};

use crate::metrics::{Direction, Metrics};

/// Longest wait for a worker's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest answer of a worker.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Run time told to a worker for a job that declares none.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Bytes of a megabyte, the unit in which workers count memory.
const MEGABYTE: u64 = 1024 * 1024;
/// Thousandths of a core in a core, the unit in which workers count cores.
const MILLIS_A_CORE: u32 = 1000;

/// What a worker has, or a task takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Capacity {
    cores: u32,
    memory: u64,
    accelerators: u32,
}

impl From<Capacity> for Resources {
    fn from(capacity: Capacity) -> Resources {
        Resources::new(
            capacity.cores.saturating_mul(MILLIS_A_CORE),
            capacity.memory.saturating_mul(MEGABYTE),
            u16::try_from(capacity.accelerators).unwrap_or(u16::MAX),
        )
    }
}

impl From<&Resources> for Capacity {
    fn from(size: &Resources) -> Capacity {
        Capacity {
            cores: size.cores.0.div_ceil(MILLIS_A_CORE),
            memory: size.memory.0.div_ceil(MEGABYTE),
            accelerators: size.accelerators.0.into(),
        }
    }
}

/// How far a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
enum TaskState {
    Running,
    Finished { exit: i32 },
    Stopped,
    Lapsed,
}

/// A task as a worker reports it.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct TaskStatus {
    pub(super) job: JobId,
    attempt: u32,
    #[serde(flatten)]
    state: TaskState,
    /// Progress at the last checkpoint, in milliseconds.
    checkpoint_ms: u64,
    usage: Capacity,
}

impl TaskStatus {
    pub(super) fn attempt(&self) -> Attempt {
        Attempt(self.attempt)
    }

    pub(super) fn usage(&self) -> Resources {
        self.usage.into()
    }

    /// Returns what the worker's word means; none for a lapsed task, whose
    /// worker has another incarnation now.
    pub(super) fn report(&self) -> Option<Report> {
        match self.state {
            TaskState::Running => Some(Report::Running),
            TaskState::Finished { exit } => Some(Report::Exited { exit }),
            TaskState::Stopped => Some(Report::Stopped { checkpoint: None }),
            TaskState::Lapsed => None,
        }
    }
}

/// A worker's answer to a renewal of its lease.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct LeaseAnswer {
    pub(super) incarnation: Incarnation,
    pub(super) capacity: Capacity,
    pub(super) usage: Capacity,
    pub(super) tasks: Vec<TaskStatus>,
}

/// The way to one worker.
#[derive(Debug, Clone)]
pub(super) struct WorkerClient {
    client: Client,
    metrics: Metrics,
    addr: SocketAddr,
}

impl WorkerClient {
    pub(super) fn new(client: Client, metrics: Metrics, addr: SocketAddr) -> WorkerClient {
        WorkerClient { client, metrics, addr }
    }

    /// Renews the worker's lease.
    pub(super) async fn lease(&self, epoch: Epoch, ttl: Duration) -> Option<LeaseAnswer> {
        let body = json!({ "epoch": epoch, "lease_ms": millis(ttl) });
        let reply = self.send(Method::POST, "/lease".to_owned(), &body).await?;
        if reply.status.is_success() { serde_json::from_slice(&reply.body).ok() } else { None }
    }

    /// Starts an attempt. `None`: no answer came.
    pub(super) async fn start(&self, start: &Start, ttl: Duration) -> Option<Report> {
        let Task { instance, epoch, job, attempt, expires } = &start.task;
        // What was planned, or a worker would refuse what its owner overcommits.
        let size = Capacity::from(&start.planned);
        let expires = expires.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let body = json!({
            "task": task_id(&start.task),
            "job": job,
            "attempt": attempt.0,
            "incarnation": instance.incarnation,
            "epoch": epoch,
            "team": start.spec.team,
            "cores": size.cores,
            "memory": size.memory,
            "accelerators": size.accelerators,
            "run_ms": millis(start.spec.run_time.unwrap_or(RUN_TIME)),
            "lease_ms": millis(ttl),
            "start_by_ms": millis(expires),
            "resume_ms": start.resume.as_deref().map_or(0, progress),
        });
        let reply = self.send(Method::POST, "/tasks".to_owned(), &body).await?;
        if reply.status.is_success() {
            return report(&reply);
        }
        // Any other refusal may have come after an earlier copy was taken: a
        // question about the attempt tells.
        (code(&reply).as_deref() == Some("no-room")).then_some(Report::InsufficientCapacity)
    }

    /// Asks what became of an attempt, which is never started from then on.
    pub(super) async fn query(&self, task: &Task) -> Option<Report> {
        let body = json!({ "attempt": task.attempt.0 });
        let reply = self.send(Method::POST, format!("/jobs/{}/query", task.job), &body).await?;
        if reply.status.is_success() {
            return report(&reply);
        }
        (code(&reply).as_deref() == Some("no-task")).then_some(Report::NeverStarted)
    }

    /// Stops an attempt, with a checkpoint first if that is wanted.
    pub(super) async fn stop(&self, task: &Task, checkpoint: bool) -> Option<Report> {
        let path = format!("/tasks/{}", task_id(task));
        if checkpoint {
            let saved = self.send(Method::POST, format!("{path}/checkpoint"), &json!({})).await?;
            if !saved.status.is_success() {
                return Some(Report::CheckpointFailed);
            }
        }
        let reply = self.send(Method::POST, format!("{path}/stop"), &json!({})).await?;
        match report(&reply)? {
            Report::Stopped { .. } if checkpoint => {
                let saved: TaskStatus = serde_json::from_slice(&reply.body).ok()?;
                let checkpoint = bytes::Bytes::from(saved.checkpoint_ms.to_string());
                Some(Report::Stopped { checkpoint: Some(checkpoint) })
            }
            report => Some(report),
        }
    }

    /// Limits an attempt's processor time to a part of what it declared.
    pub(super) async fn throttle(&self, task: &Task, percent: u32) {
        let path = format!("/tasks/{}/throttle", task_id(task));
        self.send(Method::POST, path, &json!({ "percent": percent })).await;
    }

    /// Lets the worker forget how an attempt ended.
    pub(super) async fn release(&self, task: &Task) {
        self.send(Method::DELETE, format!("/tasks/{}", task_id(task)), &json!({})).await;
    }

    async fn send(&self, method: Method, path: String, body: &serde_json::Value) -> Option<Reply> {
        let body = body.to_string();
        self.metrics.record_control_message("worker", Direction::Sent, body.len());
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .body(vg_net::full_body(body))
            .ok()?;
        let reply = self.client.call(request, ANSWER_TIMEOUT, ANSWER_MAX_BYTES).await.ok()?;
        self.metrics.record_control_message("worker", Direction::Received, reply.body.len());
        Some(reply)
    }
}

/// Returns the progress that a checkpoint of ours stands for.
fn progress(checkpoint: &[u8]) -> u64 {
    std::str::from_utf8(checkpoint).ok().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn task_id(task: &Task) -> String {
    format!("{}-{}", task.job, task.attempt.0)
}

fn report(reply: &Reply) -> Option<Report> {
    serde_json::from_slice::<TaskStatus>(&reply.body).ok()?.report()
}

fn code(reply: &Reply) -> Option<String> {
    let problem: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    problem["code"].as_str().map(str::to_owned)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
