//! A caller, as a team's program would be.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use http::{Request, header};
use vg_base::prelude::*;
use vg_entry::{PROBLEM_TYPE, Problem};
use vg_net::{Body, Client, Reply};

use crate::site::{Answer, Balancer};

/// Longest answer that is read.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Time past a request's deadline after which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(2);

/// Longest time for an answer about a job.
const JOB_PATIENCE: Duration = Duration::from_secs(40);

/// Sends calls of one team to the entry hosts in turn.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    balancer: Balancer,
    key: Option<String>,
    turn: AtomicUsize,
}

/// One call to send.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The queue.
    pub queue: SmolStr,
    /// The body.
    pub body: Vec<u8>,
    /// Time limit.
    pub deadline: Duration,
    /// Idempotency key.
    pub key: Option<SmolStr>,
}

impl CallRequest {
    /// Makes a call without an idempotency key.
    pub fn new(queue: &str, body: &[u8], deadline: Duration) -> CallRequest {
        CallRequest { queue: queue.into(), body: body.to_vec(), deadline, key: None }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: &str) -> CallRequest {
        self.key = Some(key.into());
        self
    }
}

impl Caller {
    /// Makes a caller with a key, or one without.
    pub fn new(balancer: Balancer, key: Option<&str>) -> Caller {
        let (key, turn) = (key.map(str::to_owned), AtomicUsize::new(0));
        Caller { client: Client::default(), balancer, key, turn }
    }

    /// Sends one call to the next entry host.
    pub async fn call(&self, call: &CallRequest) -> Answer {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        match self.balancer.pick(turn) {
            Some(addr) => self.call_at(addr, call).await,
            None => Answer::none(Outcome::NotRun, Duration::ZERO),
        }
    }

    /// Sends one call to a certain entry host.
    pub async fn call_at(&self, addr: SocketAddr, call: &CallRequest) -> Answer {
        let began = Instant::now();
        let limit = call.deadline + PATIENCE;
        let reply = match self.request(addr, call) {
            Ok(request) => self.client.call(request, limit, ANSWER_MAX_BYTES).await,
            Err(source) => Err(vg_net::Error::Request { source }),
        };
        answer(reply, began.elapsed())
    }

    /// Submits a job, with how long it runs and, if it shall be repeatable, an
    /// idempotency key.
    pub async fn submit(&self, queue: &str, run: Duration, key: Option<&str>) -> Answer {
        let mut request = Request::post(self.url(&format!("/v1/queues/{queue}/jobs")))
            .header("vg-job-run-ms", run.as_millis().to_string());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        self.send(request).await
    }

    /// Submits a job that needs `millis` thousandths of a core.
    pub async fn submit_sized(&self, queue: &str, millis: u32) -> Answer {
        let url = self.url(&format!("/v1/queues/{queue}/jobs"));
        self.send(Request::post(url).header("vg-job-cores", millis.to_string())).await
    }

    /// Asks about a job, and waits for its end for at most some seconds.
    pub async fn job(&self, id: &str, wait_secs: u64) -> Answer {
        self.send(Request::get(self.url(&format!("/v1/jobs/{id}?wait={wait_secs}")))).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: &str) -> Answer {
        self.send(Request::delete(self.url(&format!("/v1/jobs/{id}")))).await
    }

    fn url(&self, path: &str) -> String {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let addr = self.balancer.pick(turn).map(|addr| addr.to_string()).unwrap_or_default();
        format!("http://{addr}{path}")
    }

    async fn send(&self, mut request: http::request::Builder) -> Answer {
        let began = Instant::now();
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let reply = match request.body(vg_net::empty_body()) {
            Ok(request) => self.client.call(request, JOB_PATIENCE, ANSWER_MAX_BYTES).await,
            Err(source) => Err(vg_net::Error::Request { source }),
        };
        answer(reply, began.elapsed())
    }

    fn request(&self, addr: SocketAddr, call: &CallRequest) -> Result<Request<Body>, http::Error> {
        let url = format!("http://{addr}/v1/queues/{}/calls", call.queue);
        let mut request = Request::post(url)
            .header(header::CONTENT_TYPE, "application/octet-stream")
            .header("vg-deadline-ms", call.deadline.as_millis().to_string());
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key.as_str());
        }
        request.body(vg_net::full_body(call.body.clone()))
    }
}

fn answer(reply: Result<Reply, vg_net::Error>, took: Duration) -> Answer {
    let reply = match reply {
        Ok(reply) => reply,
        Err(e) if e.is_not_sent() => return Answer::none(Outcome::NotRun, took),
        Err(_) => return Answer::none(Outcome::Unknown, took),
    };
    let header = |name: &str| reply.headers.get(name).and_then(|value| value.to_str().ok());
    let told = header("vg-outcome").and_then(|text| text.parse::<Outcome>().ok());
    let ours = told != Some(Outcome::Answered) && header("content-type") == Some(PROBLEM_TYPE);
    let problem: Option<Problem> =
        if ours { serde_json::from_slice(&reply.body).ok() } else { None };
    Answer {
        outcome: told.unwrap_or(Outcome::Unknown),
        status: Some(reply.status),
        problem,
        request: header("vg-request-id").and_then(|text| text.parse().ok()),
        replayed: header("vg-replayed").is_some(),
        body: reply.body.clone(),
        took,
    }
}
