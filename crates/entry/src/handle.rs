//! Starting and stopping a node.

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

/// Longest time to connect to a peer or endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an unused connection is kept; below the servers' idle time.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// Period in which a stop looks whether all work is done.
const STOP_PERIOD: Duration = Duration::from_millis(20);

/// How long a stopping node waits for the next owners of its pools to ask for
/// what it knows of them.
const TELL_TIME: Duration = Duration::from_secs(3);

/// How long a node that has finished waits for the store to take its leave.
const DEPART_TIME: Duration = Duration::from_secs(5);

/// Why a node does not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be listened on.
    #[snafu(display("{source}"))]
    Listen {
        /// Cause.
        source: vg_net::Error,
    },
    /// The metrics can't be registered.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
    /// The times don't fit together.
    #[snafu(display("settings: {source}"))]
    Timing {
        /// Cause.
        source: vg_peer::TimingError,
    },
}

/// A running node. Dropping it ends it at once, as a crash would.
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
    /// [`StartError`] for addresses that are taken or settings that don't fit.
    pub async fn start(
        options: Options,
        store: P::Store,
        clock: P::Clock,
        timing: Timing,
    ) -> Result<NodeHandle<P>, StartError> {
        timing.check().context(TimingSnafu)?;
        let callers = Server::bind(options.listen, options.limits).await.context(ListenSnafu)?;
        let peers = Server::bind(options.peer_listen, options.limits).await.context(ListenSnafu)?;
        let me = Member { node: options.node.clone(), incarnation: incarnation(&clock) };
        let events = Recorder::new(clock.clone(), me.to_string(), options.event_capacity);
        let node = Node::new(NodeInner {
            store,
            client: Client::new(CONNECT_TIMEOUT, IDLE_TIME),
            metrics: Metrics::new().context(MetricsSnafu)?,
            config: ConfigTable::default(),
            hosts: HostTable::default(),
            membership: SharedMembership::new(me, timing, clock.clone()),
            pools: PoolTable::default(),
            jobs: JobTable::default(),
            receipts: ReceiptTable::new(ReceiptLimits::default(), clock.clone()),
            call_addr: callers.addr(),
            peer_addr: peers.addr(),
            book_revision: std::sync::Mutex::default(),
            due: tokio::sync::Notify::new(),
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

    /// Waits until this member finds itself fenced and has to start anew.
    pub async fn fenced(&self) {
        self.node.fenced.notified().await;
    }

    /// Stops gracefully: the balancer check turns red, after `notice` nothing
    /// new is taken, pools and units are handed over, and what runs is
    /// finished, for at most the drain time of the settings.
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

    /// Ends the node at once and cuts all connections, as a crash would.
    pub async fn kill(self) {
        let NodeHandle { node, callers, peers, mut tasks } = self;
        tasks.shutdown().await;
        // The keepers run by themselves: another incarnation of this process
        // must not find them at work.
        node.jobs.all().iter().for_each(|jobs| jobs.close());
        callers.kill().await;
        peers.kill().await;
    }
}

/// Hands all rights over and leaves the book. Returns whether the book says so.
async fn depart<P: Platform>(node: &Node<P>) -> bool {
    node.membership.lock().leave();
    node.due.notify_one();
    let told_by = node.clock.now() + TELL_TIME;
    let mut departing = None;
    loop {
        let now = node.clock.now();
        let asked = now >= told_by || node.membership.peers().is_empty();
        if asked && node.jobs.holds_units() {
            // Their jobs run on, and nobody has taken their units: they must
            // not become free before the workers' leases have lapsed.
            return false;
        }
        let done = node.pools.running() == 0 && (node.pools.is_told() || asked);
        if done && node.membership.lock().depart() {
            node.due.notify_one();
            let since = *departing.get_or_insert(now);
            if has_departed(node) {
                return true;
            }
            // Nothing runs here any more: without the store, the lease's lapse
            // tells the others.
            if now >= since + DEPART_TIME {
                return false;
            }
        }
        tokio::time::sleep(STOP_PERIOD).await;
    }
}

fn has_departed<P: Platform>(node: &Node<P>) -> bool {
    let membership = node.membership.lock();
    !membership.cluster_state().is_active(membership.me())
}

/// Returns a number that grows with each start: microseconds of wall time. A
/// clock that was set back makes the new process wait for its predecessor's
/// lease to lapse, it doesn't take its rights.
fn incarnation(clock: &impl Clock) -> Incarnation {
    let since = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
