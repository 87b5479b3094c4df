//! The shared state of one entry host.

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

/// Delay after which callers of a stopping node should try another node.
const STOPPING_RETRY: Duration = Duration::from_millis(1);

/// Longest time that new work waits for a node to read newer lists.
const STALE_WAIT: Duration = Duration::from_millis(250);
/// Interval at which waiting work checks whether the lists are current.
const STALE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The state of a node, which tells the load balancer whether to send calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// The node accepts work.
    #[display("serving")]
    Serving,
    /// The node cannot prove that it has the authority to act or that its configuration
    /// is current.
    #[display("stale")]
    Stale,
    /// The node is stopping. Until the notice time of the stop has passed, it still accepts
    /// work; then it only finishes its running work.
    #[display("stopping")]
    Stopping,
}

/// A handle to the shared state of a node. Clones share the same state.
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

/// The state of one node. The crate's documentation describes the lock order.
#[derive(Debug)]
pub struct NodeInner<P: Platform> {
    /// Settings.
    pub options: Options,
    /// The clock.
    pub clock: P::Clock,
    /// The platform's key-value service.
    pub store: P::Store,
    /// HTTP client for peers, endpoints, workers and the host list.
    pub client: Client,
    /// Events of this node.
    pub events: Recorder<P::Clock>,
    /// Metrics of this node.
    pub metrics: Metrics,
    /// The lists in force.
    pub config: ConfigTable,
    /// The platform's host list.
    pub hosts: HostTable,
    /// Membership, authority and permits.
    pub membership: SharedMembership<P::Clock>,
    /// Dispatch of the owned pools.
    pub pools: PoolTable<P::Clock>,
    /// Jobs of the owned pools.
    pub jobs: JobTable<P::Clock>,
    /// Receipts of idempotency keys.
    pub receipts: ReceiptTable<P::Clock>,
    /// Address for callers.
    pub call_addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    /// Epoch of the latest cluster state and the store revision at which it was written.
    pub(crate) state_revision: Mutex<Option<(Epoch, StoreRevision)>>,
    /// Notified when there are changes of the cluster state to propose.
    pub(crate) changes_due: Notify,
    /// Notified when this member learns that it is fenced and must be restarted.
    pub(crate) fenced: Notify,
    /// Whether the load balancer's health check fails. Work is still accepted.
    pub(crate) draining: AtomicBool,
    /// Whether new work is refused.
    pub(crate) stopping: AtomicBool,
}

impl<P: Platform> Node<P> {
    pub(crate) fn new(inner: NodeInner<P>) -> Node<P> {
        Node { inner: Arc::new(inner) }
    }
}

impl<P: Platform> NodeInner<P> {
    /// Returns the state that this node reports.
    pub fn state(&self) -> NodeState {
        if self.draining.load(Ordering::Acquire) {
            NodeState::Stopping
        } else if self.membership.check_may_act().is_err() {
            NodeState::Stale
        } else {
            NodeState::Serving
        }
    }

    /// Checks that new work may be accepted.
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

    /// Checks that new work may be accepted, and repeats the check for up to
    /// [`STALE_WAIT`] while the configuration is stale. When the lists change, a node may
    /// learn of the new revision shortly before it has read them.
    ///
    /// # Errors
    ///
    /// The same as those of [`NodeInner::check_serving`].
    pub(crate) async fn await_serving(&self) -> Result<(), Problem> {
        let until = self.clock.now() + STALE_WAIT;
        loop {
            match self.check_serving() {
                Err(problem)
                    if problem.code == ProblemCode::StaleConfiguration
                        && self.clock.now() < until =>
                {
                    tokio::time::sleep(STALE_POLL_INTERVAL).await;
                }
                result => return result,
            }
        }
    }

    /// Locks the epoch and the store revision of the latest cluster state.
    pub(crate) fn state_revision(&self) -> MutexGuard<'_, Option<(Epoch, StoreRevision)>> {
        self.state_revision.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Checks again that the key of a call is in force, by the current lists.
    pub(crate) fn check_key(&self, call: &Call) -> Result<(), Problem> {
        let config = self.config.current();
        let admitted = admit_digest(&config.lists, call.queue.as_str(), call.digest)?;
        if admitted.plan.team == call.team {
            return Ok(());
        }
        Err(Problem::not_run(ProblemCode::UnknownKey, "the key changed its team"))
    }

    /// Returns a deadline in Unix milliseconds, as sent to endpoints.
    pub(crate) fn wall_deadline_ms(&self, deadline: Instant) -> u128 {
        let remaining = deadline.saturating_duration_since(self.clock.now());
        let at = self.clock.wall() + remaining;
        at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis()
    }
}
