//! Receipts of keyed calls, each stored at two entry hosts.
//!
//! The owner of the pool decides with its own table whether a key may run. A second entry
//! host stores a copy, so that the loss of one host cannot make a used key appear unused.
//! For forwarded calls this is the ingress, and otherwise a peer that is asked.

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
pub(crate) use mirror::{Mirror, MirrorOutcome};

use mirror::mirror;
use refusal::{refusal, replay};

/// Longest wait for a peer to store a copy.
const MIRROR_TIMEOUT: Duration = Duration::from_millis(300);
/// Size limit for a peer's answer to a copy.
const MIRROR_MAX_BYTES: usize = 1024;
/// Time past a call's deadline after which a copy whose outcome was not reported counts
/// as unknown.
const RESOLVE_GRACE: Duration = Duration::from_secs(1);

/// Whether a keyed call may run.
#[derive(Debug)]
pub(crate) enum OpenOutcome<C: Clock> {
    /// The call may run under this receipt, which is `None` for a call without a key.
    Run(Option<Box<ReceiptGuard<C>>>),
    /// The call ran before, and this is its answer.
    Replay(Box<Response<Body>>),
}

/// The receipts of this node behind their lock. No other lock is taken while it is held.
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
    limits: ReceiptLimits,
    receipts: Mutex<Receipts>,
}

impl<C: Clock> ReceiptTable<C> {
    /// Creates an empty table.
    pub fn new(limits: ReceiptLimits, clock: C) -> ReceiptTable<C> {
        let receipts = Mutex::new(Receipts::new(limits));
        ReceiptTable { inner: Arc::new(Inner { clock, limits, receipts }) }
    }

    /// Returns the size limit for stored answers in bytes.
    pub fn max_answer_bytes(&self) -> usize {
        self.inner.limits.max_answer_bytes
    }

    fn now(&self) -> Instant {
        self.inner.clock.now()
    }

    /// Locks the receipts.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Receipts> {
        self.inner.receipts.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Opens a receipt at the owner, and has a peer store a copy unless the ingress does.
    ///
    /// # Errors
    ///
    /// A [`Problem`] if the key is in use, belongs to another request or may have run
    /// before, or if no copy could be stored.
    pub(crate) async fn open<P>(
        &self,
        node: &Node<P>,
        call: &Call,
    ) -> Result<OpenOutcome<C>, Problem>
    where
        P: Platform<Clock = C>,
    {
        let Some(request) = request(call) else { return Ok(OpenOutcome::Run(None)) };
        let outcome = self.lock().begin(&request, self.inner.clock.now());
        let key = match outcome {
            BeginOutcome::Run(key) => key,
            BeginOutcome::Replay(answer) => {
                return Ok(OpenOutcome::Replay(Box::new(replay(&answer))));
            }
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
        Ok(OpenOutcome::Run(Some(guard)))
    }

    /// Stores a copy at the ingress before the call is forwarded. Returns the receipt's
    /// name, which is needed to resolve it, or `None` for a call without a key.
    ///
    /// # Errors
    ///
    /// [`ProblemCode::QueueFull`] if the table is full. Nothing has run.
    pub(crate) fn mirror_forwarded(&self, call: &Call) -> Result<Option<ReceiptName>, Problem> {
        let Some(request) = request(call) else { return Ok(None) };
        let remaining = call.remaining(self.inner.clock.now());
        self.insert_mirror(&request, remaining)?;
        Ok(Some(request.name))
    }

    /// Stores a copy for a peer.
    ///
    /// # Errors
    ///
    /// The same as those of [`ReceiptTable::mirror_forwarded`].
    pub(crate) fn accept_mirror(&self, mirror: Mirror) -> Result<(), Problem> {
        let remaining = Duration::from_millis(mirror.remaining_ms).min(Options::CALL_MAX);
        let request = KeyedRequest {
            name: mirror.receipt.name,
            pool: mirror.receipt.pool,
            attempt: mirror.attempt,
            deadline: self.inner.clock.now() + remaining,
            fingerprint: mirror.receipt.fingerprint,
            idempotent: mirror.idempotent,
        };
        self.insert_mirror(&request, remaining)
    }

    /// Records the outcome of a forwarded or copied call.
    pub(crate) fn resolve(&self, name: &ReceiptName, attempt: RequestId, outcome: Outcome) {
        self.lock().resolve(name, attempt, outcome, None, self.inner.clock.now());
    }

    /// Records the outcome of a call whose receipt was copied from a peer.
    pub(crate) fn resolve_mirror(&self, resolved: &MirrorOutcome) {
        self.resolve(&resolved.name, resolved.attempt, resolved.outcome);
    }

    /// Stores a copy that resolves itself as unknown if its outcome is not reported in
    /// time.
    fn insert_mirror(&self, request: &KeyedRequest, remaining: Duration) -> Result<(), Problem> {
        if !self.lock().mirror(request, self.inner.clock.now()) {
            let detail = "there is no room for the receipt of the idempotency key";
            return Err(Problem::not_run(ProblemCode::QueueFull, detail));
        }
        let (table, name, attempt) = (self.clone(), request.name.clone(), request.attempt);
        tokio::spawn(async move {
            tokio::time::sleep(remaining + RESOLVE_GRACE).await;
            // This has no effect if the outcome was reported before.
            table.resolve(&name, attempt, Outcome::Unknown);
        });
        Ok(())
    }
}

/// Returns the receipt request of a call, or `None` if the call has no key.
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
