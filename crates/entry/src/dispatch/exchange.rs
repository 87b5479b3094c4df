//! The exchange with an endpoint.

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

/// Fields of an endpoint's answer that belong to one connection (RFC 9110,
/// section 7.6.1) and are not handed on.
const HOP_HEADERS: [header::HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
];

/// Runs a call at the granted endpoint, in a task of its own.
///
/// # Errors
///
/// [`Outcome::NotRun`] only if no byte of the call was written.
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

/// A try that gave no answer. The receipt comes back if nothing has run.
#[derive(Debug)]
pub(super) struct Failure<C: Clock> {
    /// What the caller is told if the call is not tried again.
    pub(super) problem: Problem,
    /// The receipt, to be used by the next try.
    pub(super) receipt: Option<Box<ReceiptGuard<C>>>,
}

type HeadSender<C> = oneshot::Sender<Result<Response<Body>, Failure<C>>>;

struct Exchange<P: Platform> {
    node: Node<P>,
    call: Call,
    receipt: Option<Box<ReceiptGuard<P::Clock>>>,
}

impl<P: Platform> Exchange<P> {
    async fn run(mut self, grant: Grant<P::Clock>, head: HeadSender<P::Clock>) {
        match self.write(&grant).await {
            Ok(response) => self.pass_on(response, grant, head).await,
            Err((problem, result)) => {
                match result {
                    Some(result) => grant.finish(result),
                    None => grant.lose(self.call.deadline),
                }
                let not_run = problem.outcome == Outcome::NotRun;
                let receipt = if not_run { self.receipt.take() } else { None };
                // The caller may have gone; the outcome is recorded anyway.
                let _ = head.send(Err(Failure { problem, receipt }));
            }
        }
    }

    /// Writes the call and waits for the head of the answer. The second part
    /// of the error is `None` if the call may still run.
    async fn write(
        &mut self,
        grant: &Grant<P::Clock>,
    ) -> Result<Response<Incoming>, (Problem, Option<CallResult>)> {
        let unused = |problem| (problem, Some(CallResult::Unused));
        let Some(slot) = grant.slot() else {
            return Err(unused(Problem::not_run(ProblemCode::NoEndpoint, "no slot")));
        };
        let request = self.request(slot.addr).map_err(unused)?;
        // The last check of this node's standing, right before the write.
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

    fn set_written(&mut self, written: bool) {
        if let Some(receipt) = &mut self.receipt {
            receipt.set_written(written);
        }
    }

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

    /// Hands the answer on while it comes, and to its end even if the caller
    /// has gone: the slot is in use until then.
    async fn pass_on(
        mut self,
        response: Response<Incoming>,
        grant: Grant<P::Clock>,
        head: HeadSender<P::Clock>,
    ) {
        let (mut parts, body) = response.into_parts();
        HOP_HEADERS.iter().for_each(|name| drop(parts.headers.remove(name)));
        // An endpoint can't speak in the name of an entry host.
        parts.headers.remove(headers::VERDICT);
        let failed = parts.status.is_server_error();
        let kept = self.receipt.is_some().then(|| kept_answer(parts.status, &parts.headers));
        let (writer, reader) = pipe();
        let _ = head.send(Ok(Response::from_parts(parts, reader)));
        match self.copy(body, &writer, kept).await {
            Ok(answer) => {
                if let Some(receipt) = self.receipt.take() {
                    receipt.answered(answer);
                }
                grant.finish(if failed { CallResult::Failed } else { CallResult::Answered });
                writer.finish().await;
            }
            // Dropping the writer and the receipt tells both as unknown.
            Err(Cut) => grant.lose(self.call.deadline),
        }
    }

    async fn copy(
        &self,
        mut body: Incoming,
        writer: &PipeWriter,
        mut kept: Option<Answer>,
    ) -> Result<Option<Answer>, Cut> {
        let most = self.node.receipts.max_answer_bytes();
        let mut reading = true;
        loop {
            let left = self.call.remaining(self.node.clock.now());
            let frame = match tokio::time::timeout(left, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => return Ok(kept),
                Ok(Some(Err(_))) | Err(_) => return Err(Cut),
            };
            let Ok(data) = frame.into_data() else { continue };
            if let Some(answer) = &mut kept {
                answer.body.extend_from_slice(&data);
            }
            kept = kept.filter(|answer| answer.body.len() <= most);
            if reading {
                let left = self.call.remaining(self.node.clock.now());
                // A caller that reads too slowly is cut off at the deadline.
                reading = tokio::time::timeout(left, writer.write(data)).await.map_err(|_| Cut)?;
            }
        }
    }
}

/// The answer broke off or did not end in time.
struct Cut;

fn kept_answer(status: http::StatusCode, headers: &HeaderMap) -> Answer {
    let headers = headers.iter().map(|(name, value)| Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec(),
    });
    Answer { status: status.as_u16(), headers: headers.collect(), body: Vec::new() }
}
