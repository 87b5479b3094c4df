//! The HTTP exchange with an endpoint.

use http::{HeaderMap, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_net::Body;
use vg_route::{Answer, CallResult, Header};

use crate::call::Call;
use crate::dispatch::Grant;
use crate::headers;
use crate::node::Node;
use crate::pipe::{PipeWriter, pipe};
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};
use crate::receipts::ReceiptGuard;

/// Header fields of an endpoint's answer that are specific to one connection (RFC 9110,
/// section 7.6.1) and are not passed on.
const HOP_HEADERS: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
];

/// Runs a call at the granted endpoint in a separate task.
///
/// # Errors
///
/// A [`Failure`]. Its outcome is [`Outcome::NotRun`] only if no byte of the call was
/// written.
pub(super) async fn run<P: Platform>(
    node: &Node<P>,
    call: &Call,
    grant: Grant<P::Clock>,
    receipt: Option<Box<ReceiptGuard<P::Clock>>>,
) -> Result<Response<Body>, Failure<P::Clock>> {
    let (head, result) = oneshot::channel();
    let task = Exchange { node: node.clone(), call: call.clone(), receipt };
    tokio::spawn(task.run(grant, head));
    match result.await {
        Ok(result) => result,
        Err(_) => {
            let problem = Problem::unknown(ProblemCode::EndpointBroke, "the call was lost");
            Err(Failure { problem, receipt: None })
        }
    }
}

/// An attempt without an answer. It returns the receipt if nothing has run.
#[derive(Debug)]
pub(super) struct Failure<C: Clock> {
    /// The answer to the caller if there is no further attempt.
    pub(super) problem: Problem,
    /// The receipt for the next attempt, or `None` if the call may have run.
    pub(super) receipt: Option<Box<ReceiptGuard<C>>>,
}

type HeadSender<C> = oneshot::Sender<Result<Response<Body>, Failure<C>>>;

struct Exchange<P: Platform> {
    node: Node<P>,
    call: Call,
    receipt: Option<Box<ReceiptGuard<P::Clock>>>,
}

impl<P: Platform> Exchange<P> {
    /// Runs the call and sends the head of the answer or the failure to `head`.
    async fn run(mut self, grant: Grant<P::Clock>, head: HeadSender<P::Clock>) {
        match self.write(&grant).await {
            Ok(response) => self.relay_answer(response, grant, head).await,
            Err((problem, result)) => {
                match result {
                    Some(result) => grant.finish(result),
                    None => grant.mark_lost(self.call.deadline),
                }
                let not_run = problem.outcome == Outcome::NotRun;
                let receipt = if not_run { self.receipt.take() } else { None };
                // The caller may have disconnected. The outcome is recorded in any case.
                let _ = head.send(Err(Failure { problem, receipt }));
            }
        }
    }

    /// Writes the call and waits for the head of the answer. The second part of the error
    /// is `None` if the call may still be running.
    async fn write(
        &mut self,
        grant: &Grant<P::Clock>,
    ) -> Result<Response<Incoming>, (Problem, Option<CallResult>)> {
        let unused = |problem| (problem, Some(CallResult::Unused));
        let Some(slot) = grant.slot() else {
            return Err(unused(Problem::not_run(ProblemCode::NoEndpoint, "no slot")));
        };
        let request = self.request(slot.addr).map_err(unused)?;
        // The last check of this node's authority, immediately before the call is
        // written.
        self.node.membership.check_may_act().map_err(unused)?;
        self.node.check_key(&self.call).map_err(unused)?;
        let fields = [
            Field::new("request", self.call.id),
            Field::new("team", &self.call.team),
            Field::new("host", &slot.host),
        ];
        self.node.events.record(Code::CallStarted, fields);
        let limit = self.call.remaining(self.node.clock.now());
        self.set_written(true);
        match self.node.client.send(request, limit).await {
            Ok(response) => Ok(response),
            Err(e) if e.is_not_sent() => {
                self.set_written(false);
                let detail = format!("endpoint `{}` cannot be reached", slot.host);
                let problem = Problem::not_run(ProblemCode::NoEndpoint, detail);
                Err((problem, Some(CallResult::NotReached)))
            }
            Err(vg_net::Error::Timeout { .. }) => {
                let detail = format!("endpoint `{}` gave no answer in time", slot.host);
                Err((Problem::unknown(ProblemCode::DeadlinePassed, detail), None))
            }
            Err(_) => {
                let detail = format!("endpoint `{}` gave no whole answer", slot.host);
                Err((Problem::unknown(ProblemCode::EndpointBroke, detail), None))
            }
        }
    }

    /// Records in the receipt, if there is one, whether the call may have been written.
    fn set_written(&mut self, written: bool) {
        if let Some(receipt) = &mut self.receipt {
            receipt.set_written(written);
        }
    }

    /// Builds the request to the endpoint at `addr`.
    fn request(&self, addr: std::net::SocketAddr) -> Result<Request<Body>, Problem> {
        let malformed = |e: http::Error| {
            Problem::not_run(ProblemCode::MalformedRequest, format!("cannot be written: {e}"))
        };
        let call = &self.call;
        let deadline_at = self.node.wall_deadline_ms(call.deadline);
        let mut request = Request::post(format!("http://{addr}/queues/{}", call.queue))
            .header(headers::REQUEST_ID, call.id.to_string())
            .header(headers::TEAM, call.team.as_str())
            .header(headers::DEADLINE_AT, deadline_at.to_string());
        if let Some(key) = &call.key {
            request = request.header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        if let Some(content_type) = &call.content_type {
            request = request.header(header::CONTENT_TYPE, content_type);
        }
        request.body(vg_net::full_body(call.body.clone())).map_err(malformed)
    }

    /// Passes the answer on as it arrives. Reads it to its end even if the caller has
    /// disconnected, because the slot is in use until then.
    async fn relay_answer(
        mut self,
        response: Response<Incoming>,
        grant: Grant<P::Clock>,
        head: HeadSender<P::Clock>,
    ) {
        let (mut parts, body) = response.into_parts();
        HOP_HEADERS.iter().for_each(|name| drop(parts.headers.remove(name)));
        // Only an entry host may set this header.
        parts.headers.remove(headers::VERDICT);
        let failed = parts.status.is_server_error();
        let stored = self.receipt.is_some().then(|| stored_answer(parts.status, &parts.headers));
        let (writer, reader) = pipe();
        let _ = head.send(Ok(Response::from_parts(parts, reader)));
        match self.copy_body(body, &writer, stored).await {
            Ok(answer) => {
                if let Some(receipt) = self.receipt.take() {
                    receipt.answered(answer);
                }
                grant.finish(if failed { CallResult::Failed } else { CallResult::Answered });
                writer.finish().await;
            }
            // Dropping the writer truncates the caller's body, and dropping the receipt
            // records an unknown outcome.
            Err(TruncatedAnswer) => grant.mark_lost(self.call.deadline),
        }
    }

    /// Copies the body to the caller until it ends. Returns the answer with its body for
    /// the receipt, or `None` if there is no receipt or the body is too long.
    async fn copy_body(
        &self,
        mut body: Incoming,
        writer: &PipeWriter,
        mut stored: Option<Answer>,
    ) -> Result<Option<Answer>, TruncatedAnswer> {
        let max_bytes = self.node.receipts.max_answer_bytes();
        let mut caller_connected = true;
        loop {
            let remaining = self.call.remaining(self.node.clock.now());
            let frame = match tokio::time::timeout(remaining, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return Ok(stored),
                Ok(Some(Err(_))) | Err(_) => return Err(TruncatedAnswer),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Some(answer) = &mut stored {
                answer.body.extend_from_slice(&data);
            }
            stored = stored.filter(|answer| answer.body.len() <= max_bytes);
            if caller_connected {
                let remaining = self.call.remaining(self.node.clock.now());
                // A caller that reads too slowly is disconnected at the deadline.
                caller_connected = tokio::time::timeout(remaining, writer.write(data))
                    .await
                    .map_err(|_| TruncatedAnswer)?;
            }
        }
    }
}

/// The answer was truncated or did not end before the deadline.
struct TruncatedAnswer;

/// Creates the answer for a receipt, with an empty body.
fn stored_answer(status: http::StatusCode, headers: &HeaderMap) -> Answer {
    let headers = headers.iter().map(|(name, value)| Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    });
    Answer { status: status.as_u16(), headers: headers.collect(), body: Vec::new() }
}
