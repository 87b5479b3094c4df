//! Reads the jobs that workers report and this leader does not know.
//!
//! Such a job has ended, or it was accepted after this leader listed the jobs and an earlier
//! leader, whose lease the store ended before its time, has started it. An end counts for
//! nothing if its job is not known, and is acknowledged all the same, so the store is asked
//! first.

use std::collections::BTreeSet;

use futures_util::{StreamExt, TryStreamExt, stream};
use vg_base::prelude::*;
use vg_flow::Report;
use vg_store::{Error, Store};

use super::Leader;
use crate::{Platform, keys};

/// Maximum number of concurrent reads for one report.
const CONCURRENT_READS_MAX: usize = 8;

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Adds the jobs of a report that are in the store and that this leader does not know:
    /// those of ends above `received` and, if `with_running`, those of running attempts.
    ///
    /// # Errors
    ///
    /// An error of the store, after which nothing may be concluded from a job that is not
    /// known.
    pub(super) async fn read_unknown_jobs(
        &self,
        report: &Report,
        received: u64,
        with_running: bool,
    ) -> Result<(), Error> {
        let ended = report.ended.iter().filter(|end| end.number > received);
        let ended = ended.map(|end| end.task.step.job);
        let running = report.running.iter().filter(|_| with_running);
        let running = running.map(|running| running.task.step.job);
        let unknown: BTreeSet<JobId> =
            ended.chain(running).filter(|&job| !self.knows_job(job)).collect();
        let reads = stream::iter(unknown).map(|job| self.read_job(job));
        reads.buffer_unordered(CONCURRENT_READS_MAX).try_collect().await
    }

    /// Whether a job is in memory or is known to have ended.
    fn knows_job(&self, job: JobId) -> bool {
        self.host.cached_outcome(job).is_some() || self.scheduler().job_state(job).is_some()
    }

    /// Adds a job, and applies its cancellation, if they are in the store.
    async fn read_job(&self, job: JobId) -> Result<(), Error> {
        let store = self.host.store();
        let Some(entry) = store.get(&keys::job(job)).await? else { return Ok(()) };
        let cancelled = store.get(&keys::cancel(job)).await?.is_some();
        // Another host may lead, and may have started it.
        if !self.holds_lease() {
            let reason = "the lease is not proved".to_owned();
            return Err(Error::Unavailable { reason });
        }
        self.add_job(job, &entry);
        if cancelled {
            self.apply_cancel(job);
        }
        Ok(())
    }
}
