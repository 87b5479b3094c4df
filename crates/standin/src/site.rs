//! All stand-ins of a platform in one process, and the main function of
//! `verbenagap-standin`.

use std::io::{self, Write};
use std::net::SocketAddr;

use clap::ArgMatches;
use snafu::ResultExt;
use tokio::signal::unix::{SignalKind, signal};
use vg_base::SystemClock;
use vg_base::prelude::*;
use vg_store::MemStore;

use crate::error::{IdSnafu, OutputSnafu, SignalSnafu};
use crate::{
    Endpoint, EndpointSettings, Error, Host, HostKind, HostListServer, HostState, RunLog,
    SiteSettings, StoreServer, Worker, WorkerSettings,
};

/// Number of hosts of one pool and kind that share a rack.
const HOSTS_PER_RACK: u16 = 4;

/// A running store, host list, endpoints and workers.
#[derive(Debug)]
pub struct Site {
    /// The key-value store.
    pub store: StoreServer,
    /// The host list, which contains all endpoints and workers.
    pub hosts: HostListServer,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The record of all runs on the endpoints and workers.
    pub log: RunLog,
}

impl Site {
    /// Starts all stand-ins. Endpoints and workers listen on free ports of loopback.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if a server cannot listen on its address, and
    /// [`Error::Id`] if a generated name is not valid.
    pub async fn start(settings: &SiteSettings) -> Result<Site, Error> {
        let store = StoreServer::start(settings.store, MemStore::new(SystemClock)).await?;
        let hosts = HostListServer::start(settings.hosts, SystemClock).await?;
        hosts.set_lag(settings.lag);
        let log = RunLog::new();
        let (endpoints, workers) = (Vec::new(), Vec::new());
        let mut site = Site { store, hosts, endpoints, workers, log };
        let pools: Vec<Option<&PoolId>> = if settings.pools.is_empty() {
            vec![None]
        } else {
            settings.pools.iter().map(Some).collect()
        };
        for pool in pools {
            for at in 0..settings.endpoints {
                site.add_endpoint(pool, at, settings).await?;
            }
            for at in 0..settings.workers {
                site.add_worker(pool, at, settings).await?;
            }
        }
        Ok(site)
    }

    async fn add_endpoint(
        &mut self,
        pool: Option<&PoolId>,
        at: u16,
        settings: &SiteSettings,
    ) -> Result<(), Error> {
        let id = host_id(pool, "endpoint", at)?;
        let service_time = settings.service_time;
        let endpoint = EndpointSettings { service_time, ..EndpointSettings::new(id.clone()) };
        let endpoint = Endpoint::start(endpoint, self.log.clone()).await?;
        let host = placed_host(id, at, endpoint.addr(), HostKind::Endpoint, settings)?;
        self.hosts.put(Host { pool: pool.cloned(), ..host });
        self.endpoints.push(endpoint);
        Ok(())
    }

    async fn add_worker(
        &mut self,
        pool: Option<&PoolId>,
        at: u16,
        settings: &SiteSettings,
    ) -> Result<(), Error> {
        let id = host_id(pool, "worker", at)?;
        let worker = WorkerSettings::new(id.clone());
        let worker = Worker::start(worker, self.log.clone(), SystemClock).await?;
        let host = placed_host(id, at, worker.addr(), HostKind::Worker, settings)?;
        self.hosts.put(Host { pool: pool.cloned(), ..host });
        self.workers.push(worker);
        Ok(())
    }

    /// Writes the name and the address of each stand-in, one per line.
    fn write_addresses(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(out, "store {}", self.store.addr())?;
        writeln!(out, "hosts {}", self.hosts.addr())?;
        for endpoint in &self.endpoints {
            writeln!(out, "{} {}", endpoint.id(), endpoint.addr())?;
        }
        for worker in &self.workers {
            writeln!(out, "{} {}", worker.id(), worker.addr())?;
        }
        out.flush()
    }

    /// Stops all stand-ins. Endpoints finish their active runs first.
    pub async fn stop(self) {
        for endpoint in self.endpoints {
            endpoint.stop().await;
        }
        for worker in self.workers {
            worker.stop().await;
        }
        self.hosts.kill().await;
        self.store.kill().await;
    }
}

/// Returns the name of a host: `KIND-N`, or `POOL-KIND-N` if it belongs to a pool.
fn host_id(pool: Option<&PoolId>, kind: &str, at: u16) -> Result<HostId, Error> {
    let name = match pool {
        Some(pool) => format!("{pool}-{kind}-{at}"),
        None => format!("{kind}-{at}"),
    };
    name.parse().context(IdSnafu)
}

/// Returns the list entry of a host. Hosts are spread over the availability zones
/// in turn, and every [`HOSTS_PER_RACK`] hosts of a zone share a rack.
fn placed_host(
    id: HostId,
    at: u16,
    addr: SocketAddr,
    kind: HostKind,
    settings: &SiteSettings,
) -> Result<Host, Error> {
    let zones = settings.zones.max(1);
    let (zone, rack) = (at % zones, at / zones / HOSTS_PER_RACK);
    let (zone, rack) = (format!("zone-{zone}"), format!("zone-{zone}-rack-{rack}"));
    Ok(Host {
        id,
        pool: None,
        zone: zone.parse().context(IdSnafu)?,
        rack: rack.parse().context(IdSnafu)?,
        addr,
        kind,
        state: HostState::Live,
    })
}

/// Runs the program `verbenagap-standin` until it receives SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns the errors of [`Site::start`], [`Error::Output`] if the addresses
/// cannot be written, and [`Error::Signal`] if signals cannot be received.
pub async fn run(matches: &ArgMatches) -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let site = Site::start(&SiteSettings::from(matches)).await?;
    site.write_addresses(&mut io::stdout().lock()).context(OutputSnafu)?;
    tokio::select! {
        result = tokio::signal::ctrl_c() => result.context(SignalSnafu)?,
        _ = terminate.recv() => {}
    }
    site.stop().await;
    Ok(())
}
