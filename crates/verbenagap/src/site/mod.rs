//! A whole site in one process: entry hosts, store, host list and endpoints on
//! loopback. The demo and the tests of the whole path run on it.

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
use vg_net::Limits;
use vg_standin::{Endpoint, HostListServer, RunLog, Worker};
use vg_store::{FaultControl, FaultyStore, MemStore};

pub use answer::Answer;
pub use balancer::Balancer;
pub use caller::{CallRequest, Caller};
pub use error::SiteError;
pub use keys::TeamKeys;
pub use plan::SitePlan;
pub use platform::InProcess;

use error::{NodeSnafu, StandinSnafu};

/// Period in which [`Site::ready`] looks at the nodes.
const READY_PERIOD: Duration = Duration::from_millis(20);
/// Address on loopback with any free port.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running entry host with the faults of its way to the store.
#[derive(Debug)]
pub struct SiteNode {
    /// The node.
    pub handle: NodeHandle<InProcess>,
    /// Faults of its store calls.
    pub faults: FaultControl,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    plan: SitePlan,
    store: MemStore<SystemClock>,
    keys: TeamKeys,
    log: RunLog,
    hosts: HostListServer<SystemClock>,
    endpoints: BTreeMap<HostId, Endpoint>,
    workers: BTreeMap<HostId, Worker>,
    nodes: BTreeMap<NodeId, SiteNode>,
    balancer: Balancer,
}

impl Site {
    /// Starts everything: the stand-ins, then the entry hosts.
    ///
    /// # Errors
    ///
    /// [`SiteError`] if an address can't be served or the lists don't pass.
    pub async fn start(plan: SitePlan) -> Result<Site, SiteError> {
        let clock = SystemClock;
        let hosts = HostListServer::start(ANY, clock).await.context(StandinSnafu)?;
        let mut site = Site {
            keys: TeamKeys::generate(&plan.lists()?),
            store: MemStore::new(clock),
            log: RunLog::new(),
            hosts,
            endpoints: BTreeMap::new(),
            workers: BTreeMap::new(),
            nodes: BTreeMap::new(),
            balancer: Balancer::default(),
            plan,
        };
        let (plans, uses) = site.texts()?;
        site.write_lists(Revision(1), plans, uses).await?;
        for pool in site.lists()?.pools.keys() {
            site.start_endpoints(pool).await?;
            site.start_workers(pool).await?;
        }
        for at in 0..site.plan.nodes {
            site.start_node(&node_id(at)).await?;
        }
        Ok(site)
    }

    /// Returns the lists as they are in the plan.
    ///
    /// # Errors
    ///
    /// [`SiteError::Lists`] if they don't pass the checks.
    pub fn lists(&self) -> Result<Lists, SiteError> {
        self.plan.lists()
    }

    /// Returns the list `plans` without keys.
    pub fn plans(&self) -> &str {
        &self.plan.plans
    }

    /// Returns the record of what the endpoints have run.
    pub fn log(&self) -> &RunLog {
        &self.log
    }

    /// Returns the keys of the teams.
    pub fn keys(&self) -> &TeamKeys {
        &self.keys
    }

    /// Returns the store that all nodes share.
    pub fn store(&self) -> &MemStore<SystemClock> {
        &self.store
    }

    /// Returns the host list.
    pub fn hosts(&self) -> &HostListServer<SystemClock> {
        &self.hosts
    }

    /// Returns the endpoints by host.
    pub fn endpoints(&self) -> &BTreeMap<HostId, Endpoint> {
        &self.endpoints
    }

    /// Returns the workers by host.
    pub fn workers(&self) -> &BTreeMap<HostId, Worker> {
        &self.workers
    }

    /// Returns the running nodes.
    pub fn nodes(&self) -> &BTreeMap<NodeId, SiteNode> {
        &self.nodes
    }

    /// Makes a caller of a team that sends to all nodes in turn.
    pub fn caller(&self, team: &TeamId) -> Caller {
        Caller::new(self.balancer.clone(), self.keys.get(team))
    }

    /// Waits until every node serves, knows all others and every pool has an
    /// owner. Returns false after `limit`.
    pub async fn ready(&self, limit: Duration) -> bool {
        let all = async {
            while !self.is_ready() {
                tokio::time::sleep(READY_PERIOD).await;
            }
        };
        tokio::time::timeout(limit, all).await.is_ok()
    }

    fn is_ready(&self) -> bool {
        let Ok(lists) = self.lists() else { return false };
        let owned = |node: &SiteNode| {
            let membership = node.handle.node().membership.lock();
            let members = membership.cluster_state().live().count();
            let view = membership.view();
            members == self.nodes.len()
                && lists
                    .pools
                    .keys()
                    .all(|pool| view.owner(pool).is_some_and(|held| held.successor.is_none()))
        };
        let serving = |node: &SiteNode| node.handle.node().membership.check_may_act().is_ok();
        let pools: usize = self.nodes.values().map(|node| node.handle.node().pools.len()).sum();
        self.nodes.values().all(|node| serving(node) && owned(node)) && pools == lists.pools.len()
    }

    /// Starts an entry host, under a new incarnation if it ran before.
    ///
    /// # Errors
    ///
    /// [`SiteError::Node`] if it doesn't start.
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

    /// Takes a node out of the site, to stop or kill it. The balancer, which
    /// looks at its check, sends nothing more to it.
    pub fn take_node(&mut self, node: &NodeId) -> Option<SiteNode> {
        self.balancer.remove(node);
        self.nodes.remove(node)
    }

    /// Takes an endpoint out of the site, to stop or kill it.
    pub fn take_endpoint(&mut self, host: &HostId) -> Option<Endpoint> {
        self.endpoints.remove(host)
    }

    /// Takes a worker out of the site, to stop or kill it.
    pub fn take_worker(&mut self, host: &HostId) -> Option<Worker> {
        self.workers.remove(host)
    }

    fn options(&self, node: &NodeId) -> Options {
        let at = self.nodes.len() as u32;
        Options {
            node: node.clone(),
            zone: zone_id(at % self.plan.zones),
            region: name("region-1"),
            listen: ANY,
            peer_listen: ANY,
            host_list: self.hosts.addr(),
            max_body_bytes: Options::MAX_BODY_BYTES,
            limits: Limits::default(),
            lease_ttl: self.plan.timing.lease_ttl,
            host_period: self.plan.host_period,
            drain_timeout: Options::DRAIN_TIMEOUT,
            event_capacity: Options::EVENT_CAPACITY,
        }
    }
}

/// Returns the name of the entry host at a place, from 0.
pub fn node_id(at: u32) -> NodeId {
    name(&format!("entry-{at}"))
}

fn zone_id(at: u32) -> ZoneId {
    name(&format!("zone-{}", (b'a' + (at % 26) as u8) as char))
}

/// Parses a name that is made here; it is always a valid one.
fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap_or_else(|e| unreachable!("`{text}` is a valid name: {e:?}"))
}
