//! Requests that callers send to entry hosts.

use clap::{Arg, ArgMatches};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, Method, Request};
use vg_base::prelude::*;
use vg_net::{Body, Reply, full_body};

use super::problem::{outcome_error, transport_error};
use crate::options::parse_duration;
use crate::session::Session;
use crate::{Error, Platform, System};

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "vg-deadline-ms";

/// Time after the deadline in which an answer may still arrive.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Time limit for an answer if no deadline is given. The deadline of the queue
/// is not known here.
const DEFAULT_ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// One request of a caller.
#[derive(Clone)]
pub(super) struct CallerRequest {
    pub(super) method: Method,
    /// Path and query of the URL, without the address of the entry host.
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    /// Idempotency key, which keeps a repeated request from running twice.
    pub(super) idempotency_key: Option<String>,
    /// Time limit for the work, which the deadline header carries.
    pub(super) deadline: Option<Duration>,
    /// Time limit for the answer.
    pub(super) timeout: Duration,
}

impl CallerRequest {
    /// Makes a request without a body, an idempotency key or a deadline.
    pub(super) fn new(method: Method, path: String, timeout: Duration) -> CallerRequest {
        CallerRequest {
            method,
            path,
            body: Vec::new(),
            idempotency_key: None,
            deadline: None,
            timeout,
        }
    }

    /// Makes a request that sends work to a queue, from the command-line arguments.
    /// `kind` is `calls` or `jobs`.
    pub(super) fn for_queue<P: Platform, Y: System>(
        session: &mut Session<'_, '_, P, Y>,
        matches: &ArgMatches,
        kind: &str,
    ) -> Result<CallerRequest, Error> {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let queue = text("queue").unwrap_or_default();
        let queue: QueueId = queue.parse().map_err(|e| Error::usage(format!("QUEUE: {e}")))?;
        let deadline =
            text("deadline").map(|text| parse_duration("deadline", &text)).transpose()?;
        let body = match text("body").as_deref() {
            None => Vec::new(),
            Some("-") => session.read_input()?,
            Some(body) => body.as_bytes().to_vec(),
        };
        // A random key is made if none is given, so that the request can be repeated
        // safely if its outcome is unknown.
        let idempotency_key = match text("idempotency-key") {
            Some(idempotency_key) => idempotency_key,
            None => format!("{:032x}", session.random_u128()?),
        };
        let timeout = deadline.map_or(DEFAULT_ANSWER_TIMEOUT, |deadline| deadline + ANSWER_GRACE);
        let path = format!("/v1/queues/{queue}/{kind}");
        Ok(CallerRequest {
            method: Method::POST,
            path,
            body,
            idempotency_key: Some(idempotency_key),
            deadline,
            timeout,
        })
    }

    /// Returns the command-line arguments that [`CallerRequest::for_queue`] reads.
    pub(super) fn args() -> [Arg; 4] {
        let option = |name: &'static str, value: &'static str, help: &'static str| {
            Arg::new(name).long(name).value_name(value).help(help)
        };
        [
            Arg::new("queue").value_name("QUEUE").required(true).help("Name of the queue"),
            option("body", "TEXT", "The body; `-` reads it from standard input")
                .allow_hyphen_values(true),
            option(
                "deadline",
                "TIME",
                "Time limit for the work, at most the deadline of the queue",
            ),
            option(
                "idempotency-key",
                "MARK",
                "Idempotency key of the request [default: a random one]",
            ),
        ]
    }

    /// Sends the request and returns the whole answer of the endpoint, whatever its
    /// status.
    ///
    /// # Errors
    ///
    /// Returns an error if the exchange fails or an entry host refuses the request.
    pub(super) async fn send<P: Platform, Y: System>(
        &self,
        session: &Session<'_, '_, P, Y>,
    ) -> Result<Reply, Error> {
        let key = session.caller_key()?;
        let build = |base: &str| self.request(base, key.as_deref());
        let idempotency_key = self.idempotency_key.as_deref();
        let reply = session.nodes()?.send(build, self.timeout).await;
        let reply = reply.map_err(|error| transport_error(&error, idempotency_key))?;
        if reply.status.is_success() {
            return Ok(reply);
        }
        outcome_error(&reply, idempotency_key).map_or(Ok(reply), Err)
    }

    fn request(&self, base: &str, key: Option<&str>) -> Result<Request<Body>, http::Error> {
        let url = format!("{base}{}", self.path);
        let mut request = Request::builder().method(self.method.clone()).uri(url);
        if let Some(key) = key {
            let mut value = HeaderValue::from_str(&format!("Bearer {key}"))?;
            // Keeps the key out of debug output.
            value.set_sensitive(true);
            request = request.header(AUTHORIZATION, value);
        }
        if let Some(idempotency_key) = &self.idempotency_key {
            request = request.header(IDEMPOTENCY_KEY_HEADER, idempotency_key);
        }
        if let Some(deadline) = self.deadline {
            request = request.header(DEADLINE_HEADER, deadline.as_millis().to_string());
        }
        if !self.body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/octet-stream");
        }
        request.body(full_body(self.body.clone()))
    }
}
