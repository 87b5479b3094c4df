//! A client that sends the requests of one team, as a team's program does.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use http::{Request, header};
use vg_base::prelude::*;
use vg_entry::{PROBLEM_TYPE, Problem};
use vg_net::{Body, Client, Reply};

use crate::site::{Answer, Balancer};

/// Longest response body that is read.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Time after the deadline of a call until the client stops waiting for the response.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Time limit for the response to a request about a job.
const JOB_TIMEOUT: Duration = Duration::from_secs(40);

/// Sends the requests of one team to the entry hosts in turn.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    balancer: Balancer,
    key: Option<String>,
    turn: AtomicUsize,
}

/// A call to send.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The queue that the call is sent to.
    pub queue: SmolStr,
    /// The body of the request.
    pub body: Vec<u8>,
    /// Time from sending until the answer is due.
    pub deadline: Duration,
    /// The idempotency key, if any.
    pub idempotency_key: Option<SmolStr>,
}

impl CallRequest {
    /// Returns a call without an idempotency key.
    pub fn new(queue: &str, body: &[u8], deadline: Duration) -> CallRequest {
        CallRequest { queue: queue.into(), body: body.to_vec(), deadline, idempotency_key: None }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_idempotency_key(mut self, key: &str) -> CallRequest {
        self.idempotency_key = Some(key.into());
        self
    }
}

impl Caller {
    /// Returns a caller that sends the team's key, or no key if `key` is `None`.
    pub fn new(balancer: Balancer, key: Option<&str>) -> Caller {
        let (key, turn) = (key.map(str::to_owned), AtomicUsize::new(0));
        Caller { client: Client::default(), balancer, key, turn }
    }

    /// Sends one call to the next entry host.
    pub async fn call(&self, call: &CallRequest) -> Answer {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        match self.balancer.pick(turn) {
            Some(addr) => self.call_at(addr, call).await,
            None => Answer::without_response(Outcome::NotRun, Duration::ZERO),
        }
    }

    /// Sends one call to the entry host at `addr`.
    pub async fn call_at(&self, addr: SocketAddr, call: &CallRequest) -> Answer {
        let started = Instant::now();
        let timeout = call.deadline + CALL_TIMEOUT_MARGIN;
        let reply = match self.call_http_request(addr, call) {
            Ok(request) => self.client.call(request, timeout, ANSWER_MAX_BYTES).await,
            Err(source) => Err(vg_net::Error::Request { source }),
        };
        parse_answer(reply, started.elapsed())
    }

    /// Submits a job that runs for `run_time`. With an idempotency key, the request can be
    /// sent again without starting a second job.
    pub async fn submit(&self, queue: &str, run_time: Duration, key: Option<&str>) -> Answer {
        let mut request = Request::post(self.url(&format!("/v1/queues/{queue}/jobs")))
            .header("vg-job-run-ms", run_time.as_millis().to_string());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        self.send(request).await
    }

    /// Submits a job that needs `millicores` thousandths of a core.
    pub async fn submit_with_cores(&self, queue: &str, millicores: u32) -> Answer {
        let url = self.url(&format!("/v1/queues/{queue}/jobs"));
        self.send(Request::post(url).header("vg-job-cores", millicores.to_string())).await
    }

    /// Returns the state of a job. The entry host waits up to `wait_secs` seconds for the
    /// job to end before it answers.
    pub async fn job_status(&self, id: &str, wait_secs: u64) -> Answer {
        self.send(Request::get(self.url(&format!("/v1/jobs/{id}?wait={wait_secs}")))).await
    }

    /// Requests the cancellation of a job.
    pub async fn cancel(&self, id: &str) -> Answer {
        self.send(Request::delete(self.url(&format!("/v1/jobs/{id}")))).await
    }

    /// Returns the URL of `path` at the next entry host. Without entry hosts the URL has no
    /// address, so that the request cannot be sent.
    fn url(&self, path: &str) -> String {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let addr = self.balancer.pick(turn).map(|addr| addr.to_string()).unwrap_or_default();
        format!("http://{addr}{path}")
    }

    /// Sends a request about a job. The request has no body.
    async fn send(&self, mut request: http::request::Builder) -> Answer {
        let started = Instant::now();
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let reply = match request.body(vg_net::empty_body()) {
            Ok(request) => self.client.call(request, JOB_TIMEOUT, ANSWER_MAX_BYTES).await,
            Err(source) => Err(vg_net::Error::Request { source }),
        };
        parse_answer(reply, started.elapsed())
    }

    fn call_http_request(
        &self,
        addr: SocketAddr,
        call: &CallRequest,
    ) -> Result<Request<Body>, http::Error> {
        let url = format!("http://{addr}/v1/queues/{}/calls", call.queue);
        let mut request = Request::post(url)
            .header(header::CONTENT_TYPE, "application/octet-stream")
            .header("vg-deadline-ms", call.deadline.as_millis().to_string());
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(key) = &call.idempotency_key {
            request = request.header("idempotency-key", key.as_str());
        }
        request.body(vg_net::full_body(call.body.clone()))
    }
}

/// Reads the outcome and the other headers of a response.
fn parse_answer(reply: Result<Reply, vg_net::Error>, elapsed: Duration) -> Answer {
    let reply = match reply {
        Ok(reply) => reply,
        Err(e) if e.is_not_sent() => return Answer::without_response(Outcome::NotRun, elapsed),
        Err(_) => return Answer::without_response(Outcome::Unknown, elapsed),
    };
    let header = |name: &str| reply.headers.get(name).and_then(|value| value.to_str().ok());
    let stated = header("vg-outcome").and_then(|text| text.parse::<Outcome>().ok());
    let from_entry_host =
        stated != Some(Outcome::Answered) && header("content-type") == Some(PROBLEM_TYPE);
    let problem: Option<Problem> =
        if from_entry_host { serde_json::from_slice(&reply.body).ok() } else { None };
    Answer {
        outcome: stated.unwrap_or(Outcome::Unknown),
        status: Some(reply.status),
        problem,
        request_id: header("vg-request-id").and_then(|text| text.parse().ok()),
        replayed: header("vg-replayed").is_some(),
        body: reply.body.clone(),
        elapsed,
    }
}
