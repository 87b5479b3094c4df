//! Finds out from the store what a transaction that met a conflict has left to write.

use vg_base::prelude::*;
use vg_flow::{JobOutcome, Record, RecordKind};
use vg_store::{Entry, Error, Store};

use super::Leader;
use crate::Platform;
use crate::codec::encode;
use crate::host::lock;
use crate::keys::{self, OutcomeRecord};

/// What the store says of a record whose transaction met a conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resolution {
    /// It is durable: an earlier try of the transaction took effect.
    Written,
    /// It is not durable and is to be written.
    Pending,
    /// The store has a cancellation or an outcome that takes precedence.
    Superseded,
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Finds out why a transaction met a conflict: a job of the batch was
    /// cancelled meanwhile, the transaction had taken effect when it was sent
    /// before, or another host leads. Leaves in the batch what is to be written,
    /// and returns the records that are durable.
    pub(super) async fn resolve_conflict(
        &self,
        batch: &mut Vec<Record>,
        found: &[Entry],
    ) -> Vec<Record> {
        if !self.still_leads(found).await {
            // The leadership is lost, and this task is aborted with it.
            std::future::pending::<()>().await;
        }
        let mut written = Vec::new();
        for record in std::mem::take(batch) {
            match self.resolve(&record).await {
                Ok(Resolution::Written) => written.push(record),
                Ok(Resolution::Superseded) => {}
                Ok(Resolution::Pending) => batch.push(record),
                Err(error) => {
                    log::debug!(target: "store", "cannot resolve a conflict: {error}");
                    batch.push(record);
                }
            }
        }
        written
    }

    /// Compares a record with those in the store. Only this leader changes them, apart from
    /// a cancellation, and one transaction replaces a job by its outcome: reading the job
    /// before the outcome finds one of them.
    async fn resolve(&self, record: &Record) -> Result<Resolution, Error> {
        let job = record.job;
        let store = self.host.store();
        let Some(entry) = store.get(&keys::job(job)).await? else {
            return self.resolve_without_job(record).await;
        };
        lock(&self.revisions).jobs.insert(job, entry.modified);
        let may_be_cancelled =
            matches!(record.kind, RecordKind::End(JobOutcome::Done | JobOutcome::Failed));
        if may_be_cancelled && store.get(&keys::cancel(job)).await?.is_some() {
            self.scheduler().cancel_job(job, self.host.inner.clock.now());
            return Ok(Resolution::Superseded);
        }
        self.resolve_progress(record).await
    }

    /// Compares a record of progress with that in the store, and updates its known revision.
    async fn resolve_progress(&self, record: &Record) -> Result<Resolution, Error> {
        let entry = self.host.store().get(&keys::progress(record.job)).await?;
        let mut revisions = lock(&self.revisions);
        match &entry {
            Some(entry) => revisions.progress.insert(record.job, entry.modified),
            None => revisions.progress.remove(&record.job),
        };
        let RecordKind::Progress(value) = &record.kind else { return Ok(Resolution::Pending) };
        let is_stored = entry.is_some_and(|entry| encode(value) == Some(entry.value));
        Ok(if is_stored { Resolution::Written } else { Resolution::Pending })
    }

    /// Compares a record with the stored outcome of its job. If there is none either, the
    /// job's records were lost, and what this leader knows is written again.
    async fn resolve_without_job(&self, record: &Record) -> Result<Resolution, Error> {
        let job = record.job;
        let Some(entry) = self.host.store().get(&keys::outcome(job)).await? else {
            log::warn!(target: "store", "job {job} is missing from the store; written again");
            lock(&self.revisions).jobs.remove(&job);
            // Progress that is stored without its job is not durable.
            return self.resolve_progress(record).await.map(|_| Resolution::Pending);
        };
        let Some(stored) = self.host.decode::<OutcomeRecord>(&entry) else {
            return Ok(Resolution::Superseded);
        };
        if record.kind == RecordKind::End(stored.outcome) {
            self.mark_written(std::slice::from_ref(record), entry.modified);
            return Ok(Resolution::Written);
        }
        log::warn!(target: "store", "job {job} has ended as {:?} before", stored.outcome);
        self.adopt_outcome(job, stored);
        Ok(Resolution::Superseded)
    }

    /// Ends a job as the store says, whatever this leader knows of it.
    fn adopt_outcome(&self, job: JobId, stored: OutcomeRecord) {
        {
            let mut revisions = lock(&self.revisions);
            revisions.jobs.remove(&job);
            revisions.progress.remove(&job);
        }
        self.host.cache_outcome(job, stored.team, stored.outcome);
        self.scheduler().end_durably(job, stored.outcome, self.host.inner.clock.now());
    }
}
