//! A complete site in one process: entry hosts, store, host list, endpoints and workers
//! that talk to each other over loopback. The demo and the end-to-end tests use it.

mod answer;
mod balancer;
mod caller;
mod change;
mod error;
mod hosts;
mod keys;
mod plan;
mod platform;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use snafu::ResultExt;
use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_conf::Lists;
use vg_entry::{NodeHandle, Options};
use vg_net::{Budget, Limits};
use vg_standin::{Endpoint, HostListServer, RunLog, Worker};
use vg_store::{FaultControl, FaultyStore, MemStore};

pub use answer::Answer;
pub use balancer::Balancer;
pub use caller::{CallRequest, Caller};
pub use error::SiteError;
pub use keys::TeamKeys;
pub use plan::SitePlan;
pub use platform::InProcessPlatform;

use error::{NodeSnafu, StandinSnafu};

/// Period at which [`Site::wait_ready`] checks the nodes.
const READY_POLL_PERIOD: Duration = Duration::from_millis(20);
/// Loopback address with port 0, for which the system chooses a free port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running entry host and the fault injection of its connection to the store.
#[derive(Debug)]
pub struct SiteNode {
    /// The node.
    pub handle: NodeHandle<InProcessPlatform>,
    /// Controls the faults of the node's store calls.
    pub faults: FaultControl,
}

/// A running site: all processes of one installation, in this process.
#[derive(Debug)]
pub struct Site {
    plan: SitePlan,
    store: MemStore<SystemClock>,
    keys: TeamKeys,
    run_log: RunLog,
    host_list: HostListServer<SystemClock>,
    endpoints: BTreeMap<HostId, Endpoint>,
    workers: BTreeMap<HostId, Worker>,
    nodes: BTreeMap<NodeId, SiteNode>,
    balancer: Balancer,
}

impl Site {
    /// Starts the stand-ins for the platform, then the entry hosts.
    ///
    /// # Errors
    ///
    /// [`SiteError`] if a server cannot be started or the lists are invalid.
    pub async fn start(plan: SitePlan) -> Result<Site, SiteError> {
        let clock = SystemClock;
        let host_list = HostListServer::start(ANY_PORT, clock).await.context(StandinSnafu)?;
        let mut site = Site {
            keys: TeamKeys::generate(&plan.lists()?),
            store: MemStore::new(clock),
            run_log: RunLog::new(),
            host_list,
            endpoints: BTreeMap::new(),
            workers: BTreeMap::new(),
            nodes: BTreeMap::new(),
            balancer: Balancer::default(),
            plan,
        };
        let (plans, uses) = site.list_texts()?;
        site.write_lists(Revision(1), plans, uses).await?;
        for pool in site.lists()?.pools.keys() {
            site.start_endpoints(pool).await?;
            site.start_workers(pool).await?;
        }
        for index in 0..site.plan.nodes {
            site.start_node(&node_id(index)).await?;
        }
        Ok(site)
    }

    /// Returns the parsed lists of the plan.
    ///
    /// # Errors
    ///
    /// [`SiteError::Lists`] if the lists are invalid.
    pub fn lists(&self) -> Result<Lists, SiteError> {
        self.plan.lists()
    }

    /// Returns the text of the list `plans`, without keys.
    pub fn plans(&self) -> &str {
        &self.plan.plans
    }

    /// Returns the record of the work that the endpoints and workers have run.
    pub fn run_log(&self) -> &RunLog {
        &self.run_log
    }

    /// Returns the keys of the teams.
    pub fn team_keys(&self) -> &TeamKeys {
        &self.keys
    }

    /// Returns the store that all nodes share.
    pub fn store(&self) -> &MemStore<SystemClock> {
        &self.store
    }

    /// Returns the server of the host list.
    pub fn host_list(&self) -> &HostListServer<SystemClock> {
        &self.host_list
    }

    /// Returns the running endpoints by host.
    pub fn endpoints(&self) -> &BTreeMap<HostId, Endpoint> {
        &self.endpoints
    }

    /// Returns the running workers by host.
    pub fn workers(&self) -> &BTreeMap<HostId, Worker> {
        &self.workers
    }

    /// Returns the running entry hosts.
    pub fn nodes(&self) -> &BTreeMap<NodeId, SiteNode> {
        &self.nodes
    }

    /// Returns a caller of a team that sends its requests to all entry hosts in turn.
    pub fn caller(&self, team: &TeamId) -> Caller {
        Caller::new(self.balancer.clone(), self.keys.get(team))
    }

    /// Waits until every node may act and lists all nodes as live, every pool has an owner and
    /// no pending change of owner, and the nodes together dispatch as many pools as there are.
    /// Returns false if the site is not ready after `timeout`.
    pub async fn wait_ready(&self, timeout: Duration) -> bool {
        let ready = async {
            while !self.is_ready() {
                tokio::time::sleep(READY_POLL_PERIOD).await;
            }
        };
        tokio::time::timeout(timeout, ready).await.is_ok()
    }

    fn is_ready(&self) -> bool {
        let Ok(lists) = self.lists() else { return false };
        let is_consistent = |node: &SiteNode| {
            let membership = node.handle.node().membership.lock();
            let live_members = membership.cluster_state().live().count();
            let view = membership.view();
            live_members == self.nodes.len()
                && lists.pools.keys().all(|pool| {
                    view.owner(pool).is_some_and(|ownership| ownership.successor.is_none())
                })
        };
        let may_act = |node: &SiteNode| node.handle.node().membership.check_may_act().is_ok();
        let owned_pools: usize =
            self.nodes.values().map(|node| node.handle.node().pools.len()).sum();
        self.nodes.values().all(|node| may_act(node) && is_consistent(node))
            && owned_pools == lists.pools.len()
    }

    /// Starts an entry host. An entry host that ran before gets a new incarnation.
    ///
    /// # Errors
    ///
    /// [`SiteError::Node`] if the entry host does not start.
    pub async fn start_node(&mut self, node: &NodeId) -> Result<(), SiteError> {
        let faults = FaultControl::new();
        let store = FaultyStore::new(self.store.clone(), faults.clone());
        let options = self.options(node);
        let timing = self.plan.timing.clone();
        let handle = NodeHandle::start(options, store, SystemClock, timing).await;
        let handle = handle.context(NodeSnafu { node: node.clone() })?;
        self.balancer.add(node.clone(), handle.node().call_addr);
        self.nodes.insert(node.clone(), SiteNode { handle, faults });
        Ok(())
    }

    /// Removes a node from the site, so that the caller can stop or kill it. The load
    /// balancer sends no more requests to the node, as after a failed readiness check.
    pub fn take_node(&mut self, node: &NodeId) -> Option<SiteNode> {
        self.balancer.remove(node);
        self.nodes.remove(node)
    }

    /// Removes an endpoint from the site, so that the caller can stop or kill it.
    pub fn take_endpoint(&mut self, host: &HostId) -> Option<Endpoint> {
        self.endpoints.remove(host)
    }

    /// Removes a worker from the site, so that the caller can stop or kill it.
    pub fn take_worker(&mut self, host: &HostId) -> Option<Worker> {
        self.workers.remove(host)
    }

    /// Returns the options of a node that is about to start. The number of nodes that run
    /// already decides its zone.
    fn options(&self, node: &NodeId) -> Options {
        let index = self.nodes.len() as u32;
        Options {
            node: node.clone(),
            zone: zone_id(index % self.plan.zones),
            region: name("region-1"),
            listen: ANY_PORT,
            peer_listen: ANY_PORT,
            host_list: self.host_list.addr(),
            max_body_bytes: Options::MAX_BODY_BYTES,
            limits: Limits::default(),
            peer_limits: Limits::default(),
            budget: Budget::default(),
            lease_ttl: self.plan.timing.lease_ttl,
            host_period: self.plan.host_period,
            drain_timeout: Options::DRAIN_TIMEOUT,
            event_capacity: Options::EVENT_CAPACITY,
        }
    }
}

/// Returns the id of the entry host with an index that counts from 0.
pub fn node_id(index: u32) -> NodeId {
    name(&format!("entry-{index}"))
}

fn zone_id(index: u32) -> ZoneId {
    name(&format!("zone-{}", (b'a' + (index % 26) as u8) as char))
}

/// Parses a name that this module formats.
///
/// # Panics
///
/// If the name is invalid, which is a programming error.
fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap_or_else(|e| unreachable!("`{text}` is a valid name: {e:?}"))
}
