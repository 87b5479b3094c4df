//! Requests to a worker.

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
/// Size limit for a worker's answer.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Run time that is sent to a worker for a job that declares none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(100);
/// Bytes in a mebibyte, in which workers count memory.
const BYTES_PER_MIB: u64 = 1024 * 1024;
/// Thousandths of a core in a core. Workers count whole cores.
const MILLICORES_PER_CORE: u32 = 1000;

/// Resources that a worker has or a task takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Capacity {
    cores: u32,
    memory: u64,
    accelerators: u32,
}

impl From<Capacity> for Resources {
    fn from(capacity: Capacity) -> Resources {
        Resources::new(
            capacity.cores.saturating_mul(MILLICORES_PER_CORE),
            capacity.memory.saturating_mul(BYTES_PER_MIB),
            u16::try_from(capacity.accelerators).unwrap_or(u16::MAX),
        )
    }
}

impl From<&Resources> for Capacity {
    fn from(size: &Resources) -> Capacity {
        Capacity {
            cores: size.cores.0.div_ceil(MILLICORES_PER_CORE),
            memory: size.memory.0.div_ceil(BYTES_PER_MIB),
            accelerators: size.accelerators.0.into(),
        }
    }
}

/// State of a task at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
enum TaskState {
    Running,
    Finished {
        exit: i32,
    },
    Stopped,
    #[serde(rename = "lapsed")]
    LeaseExpired,
}

/// A task as reported by a worker.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct TaskStatus {
    pub(super) job: JobId,
    attempt: u32,
    #[serde(flatten)]
    state: TaskState,
    /// Progress at the last checkpoint in milliseconds.
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

    /// Converts the task's state to a report. Returns `None` for a task whose lease has
    /// expired, because its worker has another incarnation now.
    pub(super) fn report(&self) -> Option<Report> {
        match self.state {
            TaskState::Running => Some(Report::Running),
            TaskState::Finished { exit } => Some(Report::Exited { exit }),
            TaskState::Stopped => Some(Report::Stopped { checkpoint: None }),
            TaskState::LeaseExpired => None,
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

/// Client for one worker.
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

    /// Renews the worker's lease for the time `ttl`. Returns `None` if no answer came or the
    /// worker refused.
    pub(super) async fn renew_lease(&self, epoch: Epoch, ttl: Duration) -> Option<LeaseAnswer> {
        let body = json!({ "epoch": epoch, "lease_ms": millis(ttl) });
        let reply = self.send(Method::POST, "/lease".to_owned(), &body).await?;
        if reply.status.is_success() { serde_json::from_slice(&reply.body).ok() } else { None }
    }

    /// Starts an attempt. Returns `None` if no answer came or the answer proves nothing.
    pub(super) async fn start(&self, start: &Start, ttl: Duration) -> Option<Report> {
        let Task { instance, epoch, job, attempt, expires } = &start.task;
        // The worker gets the planned size. If the owner of the pool overcommits the worker,
        // the worker would refuse the declared size.
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
            "run_ms": millis(start.spec.run_time.unwrap_or(DEFAULT_RUN_TIME)),
            "lease_ms": millis(ttl),
            "start_by_ms": millis(expires),
            "resume_ms": start.resume.as_deref().map_or(0, checkpoint_progress_ms),
        });
        let reply = self.send(Method::POST, "/tasks".to_owned(), &body).await?;
        if reply.status.is_success() {
            return report(&reply);
        }
        // Any other refusal may follow an earlier copy of the request that the worker
        // accepted. A query for the attempt shows what happened.
        (code(&reply).as_deref() == Some("no-room")).then_some(Report::InsufficientCapacity)
    }

    /// Asks what became of an attempt. The worker will not start the attempt after this
    /// query. Another incarnation than the one that the attempt is assigned to can't tell
    /// whether that one has run it.
    pub(super) async fn query(&self, task: &Task) -> Option<Report> {
        let body = json!({
            "attempt": task.attempt.0,
            "incarnation": task.instance.incarnation,
        });
        let reply = self.send(Method::POST, format!("/jobs/{}/query", task.job), &body).await?;
        if reply.status.is_success() {
            return report(&reply);
        }
        match code(&reply)?.as_str() {
            "no-task" => Some(Report::NeverStarted),
            "other-incarnation" => Some(Report::UnknownAttempt),
            _ => None,
        }
    }

    /// Stops an attempt, after a checkpoint if one is requested.
    pub(super) async fn stop(&self, task: &Task, checkpoint: bool) -> Option<Report> {
        let path = format!("/tasks/{}", task_id(task));
        if checkpoint {
            let response =
                self.send(Method::POST, format!("{path}/checkpoint"), &json!({})).await?;
            if !response.status.is_success() {
                return Some(Report::CheckpointFailed);
            }
        }
        let reply = self.send(Method::POST, format!("{path}/stop"), &json!({})).await?;
        match report(&reply)? {
            Report::Stopped { .. } if checkpoint => {
                let status: TaskStatus = serde_json::from_slice(&reply.body).ok()?;
                let checkpoint = bytes::Bytes::from(status.checkpoint_ms.to_string());
                Some(Report::Stopped { checkpoint: Some(checkpoint) })
            }
            report => Some(report),
        }
    }

    /// Limits an attempt's processor time to a percentage of what it declared.
    pub(super) async fn throttle(&self, task: &Task, percent: u32) {
        let path = format!("/tasks/{}/throttle", task_id(task));
        self.send(Method::POST, path, &json!({ "percent": percent })).await;
    }

    /// Tells the worker that it may forget how an attempt ended.
    pub(super) async fn forget(&self, task: &Task) {
        self.send(Method::DELETE, format!("/tasks/{}", task_id(task)), &json!({})).await;
    }

    /// Sends a request to the worker and counts its bytes. Returns `None` if no answer
    /// came.
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

/// Returns the progress in milliseconds that a checkpoint stands for, or 0 if it cannot
/// be read.
fn checkpoint_progress_ms(checkpoint: &[u8]) -> u64 {
    std::str::from_utf8(checkpoint).ok().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn task_id(task: &Task) -> String {
    format!("{}-{}", task.job, task.attempt.0)
}

/// Returns the report in an answer that describes a task.
fn report(reply: &Reply) -> Option<Report> {
    serde_json::from_slice::<TaskStatus>(&reply.body).ok()?.report()
}

/// Returns the `code` of a problem document.
fn code(reply: &Reply) -> Option<String> {
    let problem: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
    problem["code"].as_str().map(str::to_owned)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
