//! Makes the leader's changes to jobs durable in the store.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{JobOutcome, Record, RecordKind, WaveRecord};
use vg_store::{Entry, Key, Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::codec::encode;
use crate::host::lock;
use crate::keys::{self, CommandRecord, OutcomeRecord, TERM_KEY};

/// Maximum time in which changes accumulate in a batch while no caller waits
/// for one of them.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Time in which further changes accumulate in a batch after [`BATCH_DELAY`],
/// or after a change that a caller waits for.
const URGENT_BATCH_DELAY: Duration = Duration::from_millis(8);
/// Delay before a failed commit is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of entries of a transaction: conditions, writes and
/// deletions.
const TXN_ENTRIES_MAX: usize = 30;
/// Number of transaction entries that are counted for one record, to divide
/// records into transactions. A record needs at most five, and a transaction
/// one more for the term.
const RECORD_ENTRIES_MAX: usize = 6;
/// Maximum number of transactions in flight. A slow store takes as long for one
/// transaction as for several concurrent ones.
const CONCURRENT_TXNS_MAX: usize = 6;
/// Revisions and contents of the leader's records as last written.
#[derive(Debug, Default)]
pub(super) struct Revisions {
    pub(super) jobs: HashMap<JobId, StoreRevision>,
    pub(super) progress: HashMap<JobId, StoreRevision>,
    pub(super) waves: (Option<StoreRevision>, Vec<WaveRecord>),
    pub(super) commands: (Option<StoreRevision>, Vec<CommandRecord>),
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Writes changes as they arrive, several per transaction.
    pub(super) async fn commit_changes(self: Arc<Self>) {
        loop {
            self.collect_batch().await;
            let mut batch = self.scheduler().next_batch();
            if batch.is_empty() {
                continue;
            }
            batch.records = self.write_all(std::mem::take(&mut batch.records)).await;
            self.scheduler().batch_committed(&batch);
            self.committed.notify_waiters();
            let counts = self.scheduler().counts();
            self.host.inner.metrics.set_scheduler_counts(counts);
            self.wake.notify_one();
        }
    }

    /// Waits until there is something to write, then for up to [`BATCH_DELAY`]
    /// until a caller waits for a change, and then for [`URGENT_BATCH_DELAY`].
    async fn collect_batch(&self) {
        let clock = &self.host.inner.clock;
        self.commit_needed.notified().await;
        let deadline = clock.now() + BATCH_DELAY;
        while !self.scheduler().is_urgent() && clock.now() < deadline {
            let remaining = deadline.saturating_duration_since(clock.now());
            let _ = tokio::time::timeout(remaining, self.commit_needed.notified()).await;
        }
        tokio::time::sleep(URGENT_BATCH_DELAY).await;
    }

    /// Writes records, in several concurrent transactions. Returns those that are durable;
    /// the others were superseded in the store.
    async fn write_all(&self, records: Vec<Record>) -> Vec<Record> {
        let mut writes = FuturesUnordered::new();
        let mut written = Vec::new();
        for batch in split_batches(records) {
            if writes.len() >= CONCURRENT_TXNS_MAX {
                written.extend(writes.next().await.unwrap_or_default());
            }
            writes.push(self.write_batch(batch));
        }
        while let Some(records) = writes.next().await {
            written.extend(records);
        }
        written
    }

    /// Writes one transaction until it is known to be durable or the leadership
    /// is lost. Returns the records that are durable.
    async fn write_batch(&self, mut batch: Vec<Record>) -> Vec<Record> {
        let mut written = Vec::new();
        while !batch.is_empty() {
            match self.host.store().commit(self.transaction(&batch)).await {
                Ok(TxnOutcome::Committed { revision }) => {
                    self.host.inner.metrics.count_commit("done");
                    self.mark_written(&batch, revision);
                    written.append(&mut batch);
                }
                Ok(TxnOutcome::Conflict { found }) => {
                    self.host.inner.metrics.count_commit("conflict");
                    written.append(&mut self.resolve_conflict(&mut batch, &found).await);
                }
                Err(error) => {
                    self.host.inner.metrics.count_commit("failed");
                    log::debug!(target: "store", "commit failed: {error}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
        written
    }

    /// Builds the transaction for a batch. It expects the term of this leader,
    /// so that a later leader makes it fail.
    fn transaction(&self, records: &[Record]) -> Txn {
        let revisions = lock(&self.revisions);
        let mut txn = Txn::new().expect(TERM_KEY, Some(StoreRevision(self.token.0 as i64)));
        for record in records {
            let job = record.job;
            let progress = revisions.progress.get(&job).copied();
            match &record.kind {
                RecordKind::Progress(value) => {
                    let Some(value) = encode(value) else { continue };
                    txn = txn.expect(keys::progress(job), progress).put(keys::progress(job), value);
                }
                RecordKind::End(outcome) => {
                    let team = self.scheduler().job_team(job).flatten();
                    let at = Some(self.host.inner.clock.wall());
                    let value = OutcomeRecord { outcome: *outcome, team, at };
                    let Some(value) = encode(&value) else { continue };
                    txn = txn.expect(keys::job(job), revisions.jobs.get(&job).copied());
                    txn = txn.put(keys::outcome(job), value).delete(keys::job(job));
                    if progress.is_some() {
                        txn = txn.delete(keys::progress(job));
                    }
                    // A durable cancellation takes precedence over any other
                    // outcome.
                    txn = match outcome {
                        JobOutcome::Cancelled => txn.delete(keys::cancel(job)),
                        JobOutcome::Done | JobOutcome::Failed => {
                            txn.expect(keys::cancel(job), None)
                        }
                    };
                }
            }
        }
        txn
    }

    /// Updates the known revisions after a batch became durable. Caches the
    /// outcomes in it and records an event for each.
    fn mark_written(&self, records: &[Record], revision: StoreRevision) {
        for record in records {
            let mut revisions = lock(&self.revisions);
            match record.kind {
                RecordKind::Progress(_) => {
                    revisions.progress.insert(record.job, revision);
                }
                RecordKind::End(outcome) => {
                    revisions.progress.remove(&record.job);
                    revisions.jobs.remove(&record.job);
                    drop(revisions);
                    let team = self.scheduler().job_team(record.job).flatten();
                    self.host.cache_outcome(record.job, team, outcome);
                    self.remember_outcome(record.job);
                    let code = match outcome {
                        JobOutcome::Done => Code::JobDone,
                        JobOutcome::Failed => Code::JobFailed,
                        JobOutcome::Cancelled => Code::JobCancelled,
                    };
                    self.host.record(code, [Field::new("job", record.job)]);
                }
            }
        }
    }

    /// Finds out why a transaction met a conflict: a job of the batch was
    /// cancelled meanwhile, the transaction had taken effect when it was sent
    /// before, or another host leads. Returns the records that are durable.
    async fn resolve_conflict(&self, batch: &mut Vec<Record>, found: &[Entry]) -> Vec<Record> {
        if !self.still_leads(found).await {
            // The leadership is lost, and this task is aborted with it.
            std::future::pending::<()>().await;
        }
        let now = self.host.inner.clock.now();
        let before = batch.len();
        batch.retain(|record| {
            let cancelled = found.iter().any(|entry| entry.key == keys::cancel(record.job));
            if cancelled {
                self.scheduler().cancel_job(record.job, now);
            }
            !cancelled
        });
        if batch.len() < before {
            return Vec::new();
        }
        // The store's answer names only some of the keys, so each key is read.
        let mut stored = HashMap::new();
        for record in batch.iter() {
            for key in [keys::job(record.job), keys::progress(record.job)] {
                let Ok(entry) = self.host.store().get(&key).await else { return Vec::new() };
                stored.insert(key, entry);
            }
        }
        self.resolve_batch(batch, &stored)
    }

    /// Compares a batch that met a conflict with the stored records. If the
    /// batch has taken effect, it is marked as written and emptied. Otherwise
    /// the known revisions are updated, and records of jobs that are missing
    /// from the store are dropped. Returns the records that are durable.
    fn resolve_batch(
        &self,
        batch: &mut Vec<Record>,
        stored: &HashMap<Key, Option<Entry>>,
    ) -> Vec<Record> {
        let entry = |key: Key| stored.get(&key).and_then(Option::as_ref);
        let has_taken_effect = |record: &Record| match &record.kind {
            RecordKind::Progress(value) => {
                let known = lock(&self.revisions).progress.get(&record.job).copied();
                let bytes = encode(value);
                entry(keys::progress(record.job)).is_some_and(|entry| {
                    Some(entry.modified) != known && Some(&entry.value) == bytes.as_ref()
                })
            }
            RecordKind::End(_) => entry(keys::job(record.job)).is_none(),
        };
        // A transaction takes effect as a whole or not at all.
        if batch.iter().all(has_taken_effect) {
            for record in batch.iter() {
                let revision = entry(keys::progress(record.job)).map(|entry| entry.modified);
                self.mark_written(std::slice::from_ref(record), revision.unwrap_or_default());
            }
            return std::mem::take(batch);
        }
        let mut revisions = lock(&self.revisions);
        for record in batch.iter() {
            match entry(keys::progress(record.job)) {
                Some(entry) => revisions.progress.insert(record.job, entry.modified),
                None => revisions.progress.remove(&record.job),
            };
            if let Some(entry) = entry(keys::job(record.job)) {
                revisions.jobs.insert(record.job, entry.modified);
            }
        }
        let mut missing = Vec::new();
        batch.retain(|record| {
            let is_stored = entry(keys::job(record.job)).is_some();
            if !is_stored {
                missing.push(record.job);
            }
            is_stored
        });
        for job in missing {
            log::warn!(target: "store", "job {job} is missing from the store; not written");
        }
        Vec::new()
    }
}

fn is_outcome(record: &Record) -> bool {
    matches!(record.kind, RecordKind::End(_))
}

/// Divides records into batches of one transaction each. Outcomes come first,
/// because callers wait for them.
fn split_batches(records: Vec<Record>) -> Vec<Vec<Record>> {
    let (mut ordered, others): (Vec<_>, Vec<_>) = records.into_iter().partition(is_outcome);
    ordered.extend(others);
    ordered.chunks(TXN_ENTRIES_MAX / RECORD_ENTRIES_MAX).map(<[_]>::to_vec).collect()
}
