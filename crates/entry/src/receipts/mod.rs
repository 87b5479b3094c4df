//! Receipts of keyed calls, at two entry hosts each.
//!
//! The pool's owner decides with its own table whether a key may run. A second
//! entry host has a copy, so that the loss of one can't make a key look unused:
//! the ingress for calls that it forwards, else a peer that is asked.

mod guard;
mod mirror;
mod refusal;

use std::sync::{Arc, Mutex, MutexGuard};

use http::{HeaderValue, Response};
use vg_base::prelude::*;
use vg_net::Body;
use vg_route::{
    BeginOutcome, Fingerprint, KeyedRequest, ReceiptLimits, ReceiptName, Receipts, RequestKey,
};

use crate::call::Call;
use crate::node::Node;
use crate::options::Options;
use crate::platform::Platform;
use crate::problem::{Problem, ProblemCode};

pub(crate) use guard::ReceiptGuard;
pub(crate) use mirror::{Mirror, Settled};

use mirror::mirror;
use refusal::{refusal, replay};

/// Longest wait for a peer to take a copy.
const MIRROR_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest answer of a peer to a copy.
const MIRROR_MAX_BYTES: usize = 1024;
/// Time past a call's deadline after which a copy whose end was not told
/// counts as unknown.
const SETTLE_GRACE: Duration = Duration::from_secs(1);

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
    bounds: ReceiptLimits,
    receipts: Mutex<Receipts>,
}

impl<C: Clock> ReceiptTable<C> {
    /// Makes an empty table.
    pub fn new(bounds: ReceiptLimits, clock: C) -> ReceiptTable<C> {
        let receipts = Mutex::new(Receipts::new(bounds));
        ReceiptTable { inner: Arc::new(Inner { clock, bounds, receipts }) }
    }

    /// Returns the most bytes of an answer that is kept.
    pub fn max_answer_bytes(&self) -> usize {
        self.inner.bounds.answer_bytes
    }

    fn now(&self) -> Instant {
        self.inner.clock.now()
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
            BeginOutcome::Run(key) => key,
            BeginOutcome::Replay(answer) => return Ok(Opened::Replay(Box::new(replay(&answer)))),
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

    /// Keeps a receipt at the ingress before the call is forwarded. Returns its
    /// name, to settle it by; none for a call without a key.
    ///
    /// # Errors
    ///
    /// [`ProblemCode::QueueFull`] if there is no room: nothing has run.
    pub(crate) fn keep(&self, call: &Call) -> Result<Option<ReceiptName>, Problem> {
        let Some(request) = request(call) else { return Ok(None) };
        let remaining = call.remaining(self.inner.clock.now());
        self.keep_request(&request, remaining)?;
        Ok(Some(request.name))
    }

    /// Keeps a copy for a peer.
    ///
    /// # Errors
    ///
    /// As [`ReceiptTable::keep`].
    pub(crate) fn keep_mirror(&self, mirror: Mirror) -> Result<(), Problem> {
        let remaining = Duration::from_millis(mirror.remaining_ms).min(Options::CALL_MAX);
        let request = KeyedRequest {
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
    pub(crate) fn settle(&self, name: &ReceiptName, attempt: RequestId, outcome: Outcome) {
        self.lock().resolve(name, attempt, outcome, None, self.inner.clock.now());
    }

    /// Takes in the end of a call of which a peer had a copy kept.
    pub(crate) fn settle_mirror(&self, settled: &Settled) {
        self.settle(&settled.name, settled.attempt, settled.outcome);
    }

    fn keep_request(&self, request: &KeyedRequest, remaining: Duration) -> Result<(), Problem> {
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
fn request(call: &Call) -> Option<KeyedRequest> {
    let key = call.key.clone()?;
    let content_type = call.content_type.as_ref().map(HeaderValue::as_bytes).unwrap_or_default();
    Some(KeyedRequest {
        name: ReceiptName {
            team: call.team.clone(),
            queue: call.queue.clone(),
            key: RequestKey::Caller(key),
        },
        pool: call.pool.clone(),
        attempt: call.id,
        deadline: call.deadline,
        fingerprint: Fingerprint::of(&[content_type, &call.body]),
        idempotent: call.idempotent,
    })
}
