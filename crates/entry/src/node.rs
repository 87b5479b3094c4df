//! One entry host: its tables and tasks.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use derive_more::Display;
use serde::Serialize;
use tokio::sync::Notify;
use vg_base::prelude::*;
use vg_events::Recorder;
use vg_net::Client;
use vg_store::StoreRevision;

use crate::admit::admit_digest;
use crate::call::Call;
use crate::config::ConfigTable;
use crate::hosts::HostTable;
use crate::jobs::JobTable;
use crate::membership::SharedMembership;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::platform::Platform;
use crate::pools::PoolTable;
use crate::problem::{Problem, ProblemCode};
use crate::receipts::ReceiptTable;

/// When callers of a stopping node should try another.
const STOPPING_RETRY: Duration = Duration::from_millis(1);

/// Longest wait of new work for lists that are about to be read.
const STALE_PATIENCE: Duration = Duration::from_millis(250);
/// Pause between two looks while new work waits.
const STALE_LOOK: Duration = Duration::from_millis(10);

/// Whether a node takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// It takes work.
    #[display("serving")]
    Serving,
    /// It can't show that it may act or that its configuration is current.
    #[display("stale")]
    Stale,
    /// It finishes what it has and takes nothing new.
    #[display("stopping")]
    Stopping,
}

/// A node's shared tables. Clones share them.
#[derive(Debug)]
pub struct Node<P: Platform> {
    inner: Arc<NodeInner<P>>,
}

impl<P: Platform> Clone for Node<P> {
    fn clone(&self) -> Node<P> {
        Node { inner: Arc::clone(&self.inner) }
    }
}

impl<P: Platform> Deref for Node<P> {
    type Target = NodeInner<P>;

    fn deref(&self) -> &NodeInner<P> {
        &self.inner
    }
}

/// The tables of one node. The crate's documentation gives the lock order.
#[derive(Debug)]
pub struct NodeInner<P: Platform> {
    /// Settings.
    pub options: Options,
    /// The clock.
    pub clock: P::Clock,
    /// The platform's key-value service.
    pub store: P::Store,
    /// HTTP client towards peers, endpoints, workers and the host list.
    pub client: Client,
    /// Events of this node.
    pub events: Recorder<P::Clock>,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// The lists in force.
    pub config: ConfigTable,
    /// The platform's host list.
    pub hosts: HostTable,
    /// Membership, standing and units.
    pub membership: SharedMembership<P::Clock>,
    /// Owned pools.
    pub pools: PoolTable<P::Clock>,
    /// Jobs of owned pools.
    pub jobs: JobTable<P::Clock>,
    /// Receipts of idempotency keys.
    pub receipts: ReceiptTable<P::Clock>,
    /// Address for callers.
    pub call_addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    /// Epoch of the latest book and the store's revision of its write.
    pub(crate) book_revision: Mutex<Option<(Epoch, StoreRevision)>>,
    /// Rings when there are changes of the book to propose.
    pub(crate) due: Notify,
    /// Rings when this member finds itself fenced: it has to start anew.
    pub(crate) fenced: Notify,
    /// The balancer check is red; work is still taken.
    pub(crate) draining: AtomicBool,
    /// Nothing new is taken.
    pub(crate) stopping: AtomicBool,
}

impl<P: Platform> Node<P> {
    pub(crate) fn new(inner: NodeInner<P>) -> Node<P> {
        Node { inner: Arc::new(inner) }
    }
}

impl<P: Platform> NodeInner<P> {
    /// Returns whether this node takes work.
    pub fn state(&self) -> NodeState {
        if self.draining.load(Ordering::Acquire) {
            NodeState::Stopping
        } else if self.membership.check_may_act().is_err() {
            NodeState::Stale
        } else {
            NodeState::Serving
        }
    }

    /// Checks that new work may be taken in.
    ///
    /// # Errors
    ///
    /// [`ProblemCode::Stopping`] or [`ProblemCode::StaleConfiguration`].
    pub(crate) fn check_serving(&self) -> Result<(), Problem> {
        if self.stopping.load(Ordering::Acquire) {
            let detail = "this entry host stops; another one takes the work";
            let problem = Problem::not_run(ProblemCode::Stopping, detail);
            return Err(problem.retry_after(STOPPING_RETRY));
        }
        self.membership.check_may_act()
    }

    /// Checks that new work may be taken in, and again for a moment: when the
    /// lists change, a node can hear of it before it has read them.
    ///
    /// # Errors
    ///
    /// As [`NodeInner::check_serving`].
    pub(crate) async fn await_serving(&self) -> Result<(), Problem> {
        let until = self.clock.now() + STALE_PATIENCE;
        loop {
            match self.check_serving() {
                Err(problem)
                    if problem.code == ProblemCode::StaleConfiguration
                        && self.clock.now() < until =>
                {
                    tokio::time::sleep(STALE_LOOK).await;
                }
                result => return result,
            }
        }
    }

    /// Locks the epoch and store revision of the latest book.
    pub(crate) fn book_revision(&self) -> MutexGuard<'_, Option<(Epoch, StoreRevision)>> {
        self.book_revision.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Checks again that the key of a call is in force, by the lists of now.
    pub(crate) fn check_key(&self, call: &Call) -> Result<(), Problem> {
        let config = self.config.current();
        let admitted = admit_digest(&config.lists, call.queue.as_str(), call.digest)?;
        if admitted.plan.team == call.team {
            return Ok(());
        }
        Err(Problem::not_run(ProblemCode::UnknownKey, "the key changed its team"))
    }

    /// Returns a deadline in Unix milliseconds, for endpoints.
    pub(crate) fn wall_deadline_ms(&self, deadline: Instant) -> u128 {
        let left = deadline.saturating_duration_since(self.clock.now());
        let at = self.clock.wall() + left;
        at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis()
    }
}
