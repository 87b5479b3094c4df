//! A site for measurements, whose entry hosts and stand-ins run on separate threads.

use tokio::runtime::{Builder, Runtime};
use verbenagap::site::{Site, SitePlan, node_id};
use vg_base::prelude::*;
use vg_entry::Options;

use super::lists;
use super::process::{resident_kib, thread_cpu_time};
use super::size::Size;
use crate::Error;

/// Name of the threads of the entry hosts.
const NODE_THREADS: &str = "vg-nodes";
/// Name of the threads of the stand-ins.
const STANDIN_THREADS: &str = "vg-standins";
/// Number of threads of the entry hosts, and of the stand-ins.
const THREADS_PER_RUNTIME: usize = 3;
/// Time limit for the site to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// A site whose entry hosts and stand-ins run on separate threads, so that their CPU time can
/// be measured separately.
pub(super) struct MeasuredSite {
    /// The site.
    pub(super) site: Site,
    /// Resident memory of the process before the entry hosts started, in KiB.
    pub(super) standins_kib: u64,
    nodes: Runtime,
    standins: Runtime,
}

impl MeasuredSite {
    /// Starts a site and waits until it serves.
    pub(super) fn start(size: Size) -> Result<MeasuredSite, Error> {
        let (nodes, standins) = (runtime(NODE_THREADS)?, runtime(STANDIN_THREADS)?);
        let site_error = |e: verbenagap::site::SiteError| Error::Site { reason: e.to_string() };
        let plan = SitePlan {
            nodes: 0,
            endpoints: 1,
            workers: size.workers,
            zones: 5,
            host_period: Options::HOST_PERIOD,
            ..SitePlan::from_lists(&lists::plans(size), &lists::uses(size))
        };
        let mut site = standins.block_on(Site::start(plan)).map_err(site_error)?;
        let standins_kib = resident_kib();
        for index in 0..size.nodes {
            nodes.block_on(site.start_node(&node_id(index))).map_err(site_error)?;
        }
        if !standins.block_on(site.wait_ready(READY_TIMEOUT)) {
            return Err(Error::Site {
                reason: format!("{size}: the site was not ready within {READY_TIMEOUT:?}"),
            });
        }
        Ok(MeasuredSite { site, standins_kib, nodes, standins })
    }

    /// Runs a future on the current thread, and the tasks that it spawns on the threads of the
    /// stand-ins.
    pub(super) fn block_on<F: Future>(&self, future: F) -> F::Output {
        self.standins.block_on(future)
    }

    /// Returns the CPU time of all entry hosts since the start.
    pub(super) fn node_cpu_time(&self) -> Duration {
        thread_cpu_time(NODE_THREADS)
    }

    /// Returns the CPU time of all stand-ins since the start.
    pub(super) fn standin_cpu_time(&self) -> Duration {
        thread_cpu_time(STANDIN_THREADS)
    }

    /// Ends the entry hosts and the stand-ins without a graceful stop.
    pub(super) fn stop(self) {
        self.nodes.shutdown_background();
        self.standins.shutdown_background();
    }
}

/// Returns a runtime whose threads have a name.
fn runtime(name: &str) -> Result<Runtime, Error> {
    let mut builder = Builder::new_multi_thread();
    let builder = builder.worker_threads(THREADS_PER_RUNTIME).thread_name(name).enable_all();
    builder.build().map_err(|e| Error::Site { reason: e.to_string() })
}
