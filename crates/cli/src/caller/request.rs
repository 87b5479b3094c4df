//! Requests of callers.

use clap::{Arg, ArgMatches};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, Method, Request};
use vg_base::prelude::*;
use vg_net::{Body, Reply, full_body};

use super::problem::{failure, refusal};
use crate::options::time;
use crate::session::Session;
use crate::{Error, Platform, System};

const IDEMPOTENCY_KEY: &str = "idempotency-key";
const DEADLINE_MS: &str = "vg-deadline-ms";

/// Time beyond the deadline in which an answer may still arrive.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Longest time for an answer without a deadline; the queue's own is not known here.
const LONGEST_ANSWER: Duration = Duration::from_secs(120);

/// One request of a caller.
#[derive(Clone)]
pub(super) struct Ask {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    /// Mark that keeps a repeated request from running twice.
    pub(super) mark: Option<String>,
    pub(super) deadline: Option<Duration>,
    /// Longest time for the answer.
    pub(super) limit: Duration,
}

impl Ask {
    /// Makes a request without a body.
    pub(super) fn new(method: Method, path: String, limit: Duration) -> Ask {
        Ask { method, path, body: Vec::new(), mark: None, deadline: None, limit }
    }

    /// Makes a request that sends work to a queue, from the arguments.
    pub(super) fn work<P: Platform, Y: System>(
        session: &mut Session<'_, '_, P, Y>,
        matches: &ArgMatches,
        kind: &str,
    ) -> Result<Ask, Error> {
        let text = |name: &str| matches.get_one::<String>(name).cloned();
        let queue = text("queue").unwrap_or_default();
        let queue: QueueId = queue.parse().map_err(|e| Error::usage(format!("QUEUE: {e}")))?;
        let deadline = text("deadline").map(|text| time("deadline", &text)).transpose()?;
        let body = match text("body").as_deref() {
            None => Vec::new(),
            Some("-") => session.input()?,
            Some(body) => body.as_bytes().to_vec(),
        };
        // Made if not given, so that an unknown outcome can always be asked about.
        let mark = match text("idempotency-key") {
            Some(mark) => mark,
            None => format!("{:032x}", session.random()?),
        };
        let limit = deadline.map_or(LONGEST_ANSWER, |deadline| deadline + ANSWER_GRACE);
        let path = format!("/v1/queues/{queue}/{kind}");
        Ok(Ask { method: Method::POST, path, body, mark: Some(mark), deadline, limit })
    }

    /// Returns the arguments of [`Ask::work`].
    pub(super) fn args() -> [Arg; 4] {
        let option = |name: &'static str, value: &'static str, help: &'static str| {
            Arg::new(name).long(name).value_name(value).help(help)
        };
        [
            Arg::new("queue").value_name("QUEUE").required(true).help("The queue"),
            option("body", "TEXT", "The body; `-` reads it from standard input")
                .allow_hyphen_values(true),
            option("deadline", "TIME", "Time in which it has to be done, at most the queue's own"),
            option("idempotency-key", "MARK", "Mark of this request [default: a random one]"),
        ]
    }

    /// Sends the request and returns the whole answer, whatever its status.
    ///
    /// A refusal of the system itself is an error.
    pub(super) async fn send<P: Platform, Y: System>(
        &self,
        session: &Session<'_, '_, P, Y>,
    ) -> Result<Reply, Error> {
        let key = session.key()?;
        let make = |base: &str| self.request(base, key.as_deref());
        let mark = self.mark.as_deref();
        let reply = session.nodes()?.send(make, self.limit).await;
        let reply = reply.map_err(|error| failure(&error, mark))?;
        if reply.status.is_success() {
            return Ok(reply);
        }
        refusal(&reply, mark).map_or(Ok(reply), Err)
    }

    fn request(&self, base: &str, key: Option<&str>) -> Result<Request<Body>, http::Error> {
        let url = format!("{base}{}", self.path);
        let mut request = Request::builder().method(self.method.clone()).uri(url);
        if let Some(key) = key {
            let mut value = HeaderValue::from_str(&format!("Bearer {key}"))?;
            // Kept out of debug output.
            value.set_sensitive(true);
            request = request.header(AUTHORIZATION, value);
        }
        if let Some(mark) = &self.mark {
            request = request.header(IDEMPOTENCY_KEY, mark);
        }
        if let Some(deadline) = self.deadline {
            request = request.header(DEADLINE_MS, deadline.as_millis().to_string());
        }
        if !self.body.is_empty() {
            request = request.header(CONTENT_TYPE, "application/octet-stream");
        }
        request.body(full_body(self.body.clone()))
    }
}
