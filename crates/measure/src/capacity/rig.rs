//! A site whose entry hosts and stand-ins run on threads of their own.

use tokio::runtime::{Builder, Runtime};
use verbenagap::site::{Site, SitePlan, node_id};
use vg_base::prelude::*;
use vg_entry::Options;

use super::lists;
use super::process::{resident_kib, thread_time};
use super::size::Size;
use crate::Error;

/// Name of the threads of the entry hosts.
const NODE_THREADS: &str = "vg-nodes";
/// Name of the threads of the stand-ins.
const STANDIN_THREADS: &str = "vg-standins";
/// Threads of each of the two.
const THREADS: usize = 3;
/// Longest time until all nodes know each other and all pools are owned.
const READY_MAX: Duration = Duration::from_secs(60);

/// A site whose entry hosts and stand-ins run on threads of their own, so that
/// their processor time is told apart.
pub(super) struct Rig {
    /// The site.
    pub(super) site: Site,
    /// Memory of the process before the entry hosts started, in KiB.
    pub(super) standins_kib: u64,
    nodes: Runtime,
    standins: Runtime,
}

impl Rig {
    /// Starts a site and waits until it serves.
    pub(super) fn start(size: Size) -> Result<Rig, Error> {
        let (nodes, standins) = (runtime(NODE_THREADS)?, runtime(STANDIN_THREADS)?);
        let failed = |e: verbenagap::site::SiteError| Error::Site { reason: e.to_string() };
        let plan = SitePlan {
            nodes: 0,
            endpoints: 1,
            workers: size.workers,
            zones: 5,
            host_period: Options::HOST_PERIOD,
            ..SitePlan::from_lists(&lists::plans(size), &lists::uses(size))
        };
        let mut site = standins.block_on(Site::start(plan)).map_err(failed)?;
        let standins_kib = resident_kib();
        for at in 0..size.nodes {
            nodes.block_on(site.start_node(&node_id(at))).map_err(failed)?;
        }
        if !standins.block_on(site.wait_ready(READY_MAX)) {
            return Err(Error::Site { reason: format!("{size}: not ready within {READY_MAX:?}") });
        }
        Ok(Rig { site, standins_kib, nodes, standins })
    }

    /// Runs a future on the threads of the stand-ins.
    pub(super) fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.standins.block_on(future)
    }

    /// Returns the processor time of all entry hosts so far.
    pub(super) fn node_time(&self) -> Duration {
        thread_time(NODE_THREADS)
    }

    /// Returns the processor time of all stand-ins so far.
    pub(super) fn standin_time(&self) -> Duration {
        thread_time(STANDIN_THREADS)
    }

    /// Ends everything at once.
    pub(super) fn stop(self) {
        self.nodes.shutdown_background();
        self.standins.shutdown_background();
    }
}

fn runtime(name: &str) -> Result<Runtime, Error> {
    let mut builder = Builder::new_multi_thread();
    let builder = builder.worker_threads(THREADS).thread_name(name).enable_all();
    builder.build().map_err(|e| Error::Site { reason: e.to_string() })
}
