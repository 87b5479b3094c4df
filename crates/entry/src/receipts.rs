//! Receipts of keyed calls, at two entry hosts each.
//!
//! The pool's owner decides with its own table whether a key may run. A second
//! entry host has a copy, so that the loss of one can't make a key look unused:
//! the ingress for calls that it forwards, else a peer that is asked.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use http::{HeaderName, HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_net::Body;
use vg_route::{
    Answer, Begin, Bounds, Fingerprint, KeyName, Name, Receipt, ReceiptKey, Receipts, Request,
};

use crate::call::Call;
use crate::headers;
use crate::node::Node;
use crate::options::Options;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};

/// Longest wait for a peer to take a copy.
const MIRROR_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest answer of a peer to a copy.
const MIRROR_MAX_BYTES: usize = 1024;
/// Time past a call's deadline after which a copy whose end was not told
/// counts as unknown.
const SETTLE_GRACE: Duration = Duration::from_secs(1);
/// When a repeat of a key that is running should come back.
const RUNNING_RETRY: Duration = Duration::from_millis(500);

/// A copy of a receipt for a peer to keep.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Mirror {
    receipt: Receipt,
    attempt: RequestId,
    idempotent: bool,
    /// Milliseconds until the call's deadline.
    remaining_ms: u64,
}

/// How a copied call ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Settled {
    name: Name,
    attempt: RequestId,
    outcome: Outcome,
}

/// Whether a keyed call may run.
#[derive(Debug)]
pub(crate) enum Opened<C: Clock> {
    /// It may, under this receipt; none for a call without a key.
    Run(Option<Box<ReceiptGuard<C>>>),
    /// It ran before; its answer.
    Replay(Box<Response<Body>>),
}

/// The receipts of this node behind their lock. Nothing else is locked while
/// it is held.
#[derive(Debug)]
pub struct ReceiptTable<C> {
    inner: Arc<Inner<C>>,
}

impl<C> Clone for ReceiptTable<C> {
    fn clone(&self) -> ReceiptTable<C> {
        ReceiptTable { inner: Arc::clone(&self.inner) }
    }
}

#[derive(Debug)]
struct Inner<C> {
    clock: C,
    bounds: Bounds,
    receipts: Mutex<Receipts>,
}

impl<C: Clock> ReceiptTable<C> {
    /// Makes an empty table.
    pub fn new(bounds: Bounds, clock: C) -> ReceiptTable<C> {
        let receipts = Mutex::new(Receipts::new(bounds));
        ReceiptTable { inner: Arc::new(Inner { clock, bounds, receipts }) }
    }

    /// Returns the most bytes of an answer that is kept.
    pub fn answer_bytes(&self) -> usize {
        self.inner.bounds.answer_bytes
    }

    /// Locks the receipts.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Receipts> {
        self.inner.receipts.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Opens a receipt at the owner, and has a peer keep a copy unless the
    /// ingress does.
    ///
    /// # Errors
    ///
    /// A [`Problem`] if the key is in use, was used otherwise or may have run.
    pub(crate) async fn open<P>(&self, node: &Node<P>, call: &Call) -> Result<Opened<C>, Problem>
    where
        P: Platform<Clock = C>,
    {
        let Some(request) = request(call) else { return Ok(Opened::Run(None)) };
        let begun = self.lock().begin(&request, self.inner.clock.now());
        let key = match begun {
            Begin::Run(key) => key,
            Begin::Replay(answer) => return Ok(Opened::Replay(Box::new(replay(&answer)))),
            refused => return Err(refusal(&refused)),
        };
        let mut guard = Box::new(ReceiptGuard {
            table: self.clone(),
            request,
            key: Some(key),
            written: false,
            mirror: None,
            client: node.client.clone(),
        });
        if call.via.is_none() {
            guard.mirror = mirror(node, call, &guard.request).await?;
        }
        Ok(Opened::Run(Some(guard)))
    }

    /// Keeps a receipt at the ingress before the call is forwarded.
    ///
    /// # Errors
    ///
    /// [`ProblemCode::QueueFull`] if there is no room: nothing has run.
    pub(crate) fn keep(&self, call: &Call) -> Result<(), Problem> {
        let Some(request) = request(call) else { return Ok(()) };
        let remaining = call.remaining(self.inner.clock.now());
        self.keep_request(&request, remaining)
    }

    /// Keeps a copy for a peer.
    ///
    /// # Errors
    ///
    /// As [`ReceiptTable::keep`].
    pub(crate) fn keep_mirror(&self, mirror: Mirror) -> Result<(), Problem> {
        let remaining = Duration::from_millis(mirror.remaining_ms).min(Options::CALL_MAX);
        let request = Request {
            name: mirror.receipt.name,
            pool: mirror.receipt.pool,
            attempt: mirror.attempt,
            deadline: self.inner.clock.now() + remaining,
            fingerprint: mirror.receipt.fingerprint,
            idempotent: mirror.idempotent,
        };
        self.keep_request(&request, remaining)
    }

    /// Takes in how a forwarded or copied call ended.
    pub(crate) fn settle(&self, name: &Name, attempt: RequestId, outcome: Outcome) {
        self.lock().settle(name, attempt, outcome, None, self.inner.clock.now());
    }

    /// Takes in the end of a call of which a peer had a copy kept.
    pub(crate) fn settle_mirror(&self, settled: &Settled) {
        self.settle(&settled.name, settled.attempt, settled.outcome);
    }

    fn keep_request(&self, request: &Request, remaining: Duration) -> Result<(), Problem> {
        if !self.lock().mirror(request, self.inner.clock.now()) {
            let detail = "there is no room for the receipt of the idempotency key";
            return Err(Problem::not_run(ProblemCode::QueueFull, detail));
        }
        let (table, name, attempt) = (self.clone(), request.name.clone(), request.attempt);
        tokio::spawn(async move {
            tokio::time::sleep(remaining + SETTLE_GRACE).await;
            // Has no effect if the end was told before.
            table.settle(&name, attempt, Outcome::Unknown);
        });
        Ok(())
    }
}

/// Returns the request of a keyed call.
pub(crate) fn request(call: &Call) -> Option<Request> {
    let key = call.key.clone()?;
    let content_type = call.content_type.as_ref().map(HeaderValue::as_bytes).unwrap_or_default();
    Some(Request {
        name: Name {
            team: call.team.clone(),
            queue: call.queue.clone(),
            key: KeyName::Caller(key),
        },
        pool: call.pool.clone(),
        attempt: call.id,
        deadline: call.deadline,
        fingerprint: Fingerprint::of(&[content_type, &call.body]),
        idempotent: call.idempotent,
    })
}

/// Has a peer keep a copy. `None` only if there is no other member at all.
async fn mirror<P: Platform>(
    node: &Node<P>,
    call: &Call,
    request: &Request,
) -> Result<Option<SocketAddr>, Problem> {
    let peers = node.roster.peers();
    let remaining = call.remaining(node.clock.now()).as_millis();
    let message = Mirror {
        receipt: Receipt::of_request(request),
        attempt: request.attempt,
        idempotent: request.idempotent,
        remaining_ms: u64::try_from(remaining).unwrap_or(u64::MAX),
    };
    // Each call starts with another peer, which spreads the copies.
    let first = call.id.value() as usize;
    for at in 0..peers.len() {
        let (_, addr) = &peers[first.wrapping_add(at) % peers.len()];
        let url = format!("http://{addr}/peer/receipts");
        let kept = node.client.exchange(&url, &message, MIRROR_TIMEOUT, MIRROR_MAX_BYTES).await;
        if matches!(kept, Ok(true)) {
            return Ok(Some(*addr));
        }
    }
    if peers.is_empty() {
        return Ok(None);
    }
    let detail = "no second entry host could keep the receipt of the idempotency key";
    Err(Problem::not_run(ProblemCode::NoOwner, detail))
}

fn refusal(begin: &Begin) -> Problem {
    match begin {
        Begin::Mismatch => {
            let detail = "the idempotency key was used with another body or content type";
            Problem::not_run(ProblemCode::KeyReused, detail)
        }
        Begin::Running => {
            let detail = "a request with this idempotency key is running now";
            Problem::unknown(ProblemCode::KeyInUse, detail).retry_after(RUNNING_RETRY)
        }
        Begin::Full { retry_after } => {
            let detail = "there is no room for the receipt of the idempotency key";
            Problem::not_run(ProblemCode::QueueFull, detail).retry_after(*retry_after)
        }
        Begin::Doubled => {
            // The attempt may be running: to call it not run would let the ingress
            // give its copy of the receipt up.
            let detail = "this attempt came before; this copy of it tells nothing of its end";
            Problem::unknown(ProblemCode::KeyInUse, detail).retry_after(RUNNING_RETRY)
        }
        Begin::Late => {
            let detail = "the deadline passed before the call came to its entry host";
            Problem::not_run(ProblemCode::DeadlineUnreachable, detail)
        }
        Begin::Run(_) | Begin::Replay(_) | Begin::Unknown => {
            let detail = "a request with this idempotency key may have run before";
            Problem::unknown(ProblemCode::EarlierRunUnknown, detail)
        }
    }
}

fn replay(answer: &Answer) -> Response<Body> {
    let mut response = Response::new(vg_net::full(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for each in &answer.headers {
        let name = HeaderName::from_bytes(each.name.as_bytes());
        let value = HeaderValue::from_bytes(&each.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response.headers_mut().insert(headers::REPLAYED, HeaderValue::from_static("true"));
    response
}

/// The receipt of a call that runs at this owner.
///
/// Dropped before the call is written it says *not run*, after it *unknown*.
#[derive(Debug)]
pub(crate) struct ReceiptGuard<C: Clock> {
    table: ReceiptTable<C>,
    request: Request,
    key: Option<ReceiptKey>,
    written: bool,
    mirror: Option<SocketAddr>,
    client: vg_net::Client,
}

impl<C: Clock> ReceiptGuard<C> {
    /// Notes that the call is about to be written to an endpoint.
    pub(crate) fn set_written(&mut self, written: bool) {
        self.written = written;
    }

    /// Ends the call with its whole answer; `None` if that was too long to
    /// keep.
    pub(crate) fn answered(mut self, answer: Option<Answer>) {
        self.finish(Outcome::Answered, answer);
    }

    fn finish(&mut self, outcome: Outcome, answer: Option<Answer>) {
        let Some(key) = self.key.take() else { return };
        let now = self.table.inner.clock.now();
        self.table.lock().finish(key, outcome, answer, now);
        let Some(addr) = self.mirror else { return };
        let (name, attempt) = (self.request.name.clone(), self.request.attempt);
        let settled = Settled { name, attempt, outcome };
        let client = self.client.clone();
        // Best effort: the copy settles by itself after the deadline.
        tokio::spawn(async move {
            let url = format!("http://{addr}/peer/receipts/settled");
            let _ =
                client.exchange::<_, bool>(&url, &settled, MIRROR_TIMEOUT, MIRROR_MAX_BYTES).await;
        });
    }
}

impl<C: Clock> Drop for ReceiptGuard<C> {
    fn drop(&mut self) {
        let outcome = if self.written { Outcome::Unknown } else { Outcome::NotRun };
        self.finish(outcome, None);
    }
}
