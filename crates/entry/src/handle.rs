//! Starts and stops a node.

use std::sync::atomic::Ordering;

use snafu::{ResultExt, Snafu};
use tokio::task::JoinSet;
use vg_base::prelude::*;
use vg_events::{Code, Field, Recorder};
use vg_net::{Client, Server, ServerHandle};
use vg_peer::Timing;
use vg_route::ReceiptLimits;

use crate::config::ConfigTable;
use crate::control;
use crate::hosts::HostTable;
use crate::jobs::JobTable;
use crate::membership::SharedMembership;
use crate::metrics::Metrics;
use crate::node::{Node, NodeInner};
use crate::options::Options;
use crate::platform::Platform;
use crate::pools::PoolTable;
use crate::receipts::ReceiptTable;
use crate::web;

/// Time limit for connecting to a peer or an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an unused connection is kept. It is shorter than the idle timeout of the
/// servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a stopping node checks whether all work is finished.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a stopping node waits for the next owners of its pools to request what it
/// knows about them.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a node that has finished its work waits for the store to record its
/// departure.
const DEPART_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a node does not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The node cannot listen on an address.
    #[snafu(display("{source}"))]
    Listen {
        /// The cause.
        source: vg_net::Error,
    },
    /// The metrics cannot be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// The cause.
        source: prometheus::Error,
    },
    /// The membership timings are inconsistent.
    #[snafu(display("settings: {source}"))]
    Timing {
        /// The cause.
        source: vg_peer::TimingError,
    },
}

/// A running node. Dropping the handle ends its servers and background tasks at once, as a
/// crash would.
#[derive(Debug)]
pub struct NodeHandle<P: Platform> {
    node: Node<P>,
    callers: ServerHandle,
    peers: ServerHandle,
    tasks: JoinSet<()>,
}

impl<P: Platform> NodeHandle<P> {
    /// Starts a node under a new incarnation.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address cannot be listened on, the metrics cannot be
    /// registered or the timings are inconsistent.
    pub async fn start(
        options: Options,
        store: P::Store,
        clock: P::Clock,
        timing: Timing,
    ) -> Result<NodeHandle<P>, StartError> {
        timing.check().context(TimingSnafu)?;
        let bind = async |addr, limits| {
            let server = Server::bind(addr, limits).await.context(ListenSnafu)?;
            Ok(server.with_budget(options.budget.clone()))
        };
        let callers = bind(options.listen, options.limits).await?;
        let peers = bind(options.peer_listen, options.peer_limits).await?;
        let me = Member { node: options.node.clone(), incarnation: incarnation(&clock) };
        let events = Recorder::new(clock.clone(), me.to_string(), options.event_capacity);
        let node = Node::new(NodeInner {
            store,
            client: Client::new(CONNECT_TIMEOUT, IDLE_TIMEOUT),
            metrics: Metrics::new().context(MetricsSnafu)?,
            config: ConfigTable::default(),
            hosts: HostTable::default(),
            membership: SharedMembership::new(me, timing, clock.clone()),
            pools: PoolTable::default(),
            jobs: JobTable::default(),
            receipts: ReceiptTable::new(ReceiptLimits::default(), clock.clone()),
            call_addr: callers.addr(),
            peer_addr: peers.addr(),
            state_revision: std::sync::Mutex::default(),
            changes_due: tokio::sync::Notify::new(),
            fenced: tokio::sync::Notify::new(),
            draining: std::sync::atomic::AtomicBool::new(false),
            stopping: std::sync::atomic::AtomicBool::new(false),
            events,
            options,
            clock,
        });
        let fields = [Field::new("callers", node.call_addr), Field::new("peers", node.peer_addr)];
        node.events.record(Code::ProcessStarted, fields);
        let peers = peers.start(web::peer_router(&node));
        let callers = callers.start(web::caller_router(&node));
        let tasks = control::start(&node);
        Ok(NodeHandle { node, callers, peers, tasks })
    }

    /// Returns the node's tables.
    pub fn node(&self) -> &Node<P> {
        &self.node
    }

    /// Waits until this member learns that it is fenced and must be restarted.
    pub async fn fenced(&self) {
        self.node.fenced.notified().await;
    }

    /// Stops the node gracefully. The health check of the load balancer fails at once.
    /// After `notice` the node accepts no new work, hands over its pools and permits, and
    /// finishes running work. The drain timeout of its options limits the handover and the
    /// end of each of the two servers separately.
    ///
    /// Returns whether all work was finished and handed over.
    pub async fn stop(self, notice: Duration) -> bool {
        let NodeHandle { node, callers, peers, mut tasks } = self;
        let running = Field::new("running", node.pools.running());
        node.events.record(Code::StopBegan, [running]);
        node.draining.store(true, Ordering::Release);
        tokio::time::sleep(notice).await;
        node.stopping.store(true, Ordering::Release);
        let limit = node.options.drain_timeout;
        let departed = tokio::time::timeout(limit, depart(&node)).await.unwrap_or(false);
        let finished = tokio::time::timeout(limit, callers.stop()).await.is_ok();
        tasks.shutdown().await;
        let finished = tokio::time::timeout(limit, peers.stop()).await.is_ok() && finished;
        let fields = [Field::new("departed", departed), Field::new("finished", finished)];
        node.events.record(Code::ProcessStopped, fields);
        departed && finished
    }

    /// Ends the node at once and closes all connections, as a crash would.
    pub async fn kill(self) {
        let NodeHandle { node, callers, peers, mut tasks } = self;
        tasks.shutdown().await;
        // The job controllers are separate tasks. They must not be running when another
        // incarnation starts in this process.
        node.jobs.all().iter().for_each(|jobs| jobs.close());
        callers.kill().await;
        peers.kill().await;
    }
}

/// Hands over all pools and permits and leaves the cluster. Returns whether the cluster
/// state records the departure.
async fn depart<P: Platform>(node: &Node<P>) -> bool {
    node.membership.lock().leave();
    node.changes_due.notify_one();
    let handover_deadline = node.clock.now() + HANDOVER_TIMEOUT;
    let mut departed_at = None;
    loop {
        let now = node.clock.now();
        let handover_ended = now >= handover_deadline || node.membership.peers().is_empty();
        if handover_ended && node.jobs.holds_permits() {
            // The jobs of handed-over pools are still running and nobody has taken their
            // permits, which must not become free before the workers' leases have
            // expired.
            return false;
        }
        let finished = node.pools.running() == 0 && (node.pools.is_exported() || handover_ended);
        if finished && node.membership.lock().depart() {
            node.changes_due.notify_one();
            let since = *departed_at.get_or_insert(now);
            if has_departed(node) {
                return true;
            }
            // Nothing runs here any more. If the store cannot record the departure, the
            // other members notice it when the lease expires.
            if now >= since + DEPART_TIMEOUT {
                return false;
            }
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Returns whether the cluster state no longer lists this member as active.
fn has_departed<P: Platform>(node: &Node<P>) -> bool {
    let membership = node.membership.lock();
    !membership.cluster_state().is_active(membership.me())
}

/// Returns a number that grows with each start: the wall-clock time in microseconds. If
/// the clock was set back, the new process waits until its predecessor's lease has
/// expired and does not take over the predecessor's rights.
fn incarnation(clock: &impl Clock) -> Incarnation {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
