//! Makes the leader's changes to jobs durable in the store.
//!
//! Each end that a worker may forget is in a record that was written before. A store that
//! refuses a transaction, because it is too large, holds up no other record: each is then
//! written alone, at last without checkpoints, which cost work that is done again.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{JobOutcome, Record, RecordKind, WaveRecord};
use vg_store::{Error, Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::codec::encode;
use crate::host::lock;
use crate::keys::{self, OutcomeRecord, RecordedCommand, TERM_KEY};

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
/// records into transactions. A record needs at most six, and a transaction
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
    pub(super) commands: (Option<StoreRevision>, Vec<RecordedCommand>),
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
            let sent = self.host.inner.clock.now();
            match self.host.store().commit(self.transaction(&batch)).await {
                Ok(TxnOutcome::Committed { revision }) => {
                    self.scheduler().note_revision(revision.0 as u64, sent);
                    self.host.inner.metrics.count_commit("done");
                    self.mark_written(&batch, revision);
                    written.append(&mut batch);
                }
                Ok(TxnOutcome::Conflict { found }) => {
                    self.host.inner.metrics.count_commit("conflict");
                    written.append(&mut self.resolve_conflict(&mut batch, &found).await);
                }
                Err(Error::Refused { reason }) if batch.len() > 1 => {
                    self.host.inner.metrics.count_commit("failed");
                    log::debug!(target: "store", "records are written one by one: {reason}");
                    for record in batch.drain(..) {
                        written.append(&mut Box::pin(self.write_batch(vec![record])).await);
                    }
                }
                Err(Error::Refused { reason }) if drop_checkpoints(&mut batch) => {
                    self.host.inner.metrics.count_commit("failed");
                    log::warn!(target: "store", "checkpoints are dropped: {reason}");
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
                    txn = match revisions.jobs.get(&job) {
                        Some(revision) => txn.expect(keys::job(job), Some(*revision)),
                        None => self.restore_job(txn, job),
                    };
                    txn = txn.expect(keys::progress(job), progress).put(keys::progress(job), value);
                }
                RecordKind::End(outcome) => {
                    let team = self.scheduler().job_team(job).flatten();
                    let value = OutcomeRecord { outcome: *outcome, team, unaccepted: false };
                    let Some(value) = encode(&value) else { continue };
                    let stored = revisions.jobs.get(&job).copied();
                    txn = txn.expect(keys::job(job), stored).expect(keys::outcome(job), None);
                    txn = txn.put(keys::outcome(job), value);
                    if stored.is_some() {
                        txn = txn.delete(keys::job(job));
                    }
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

    /// Adds the write of a job's record that is missing from the store.
    fn restore_job(&self, txn: Txn, job: JobId) -> Txn {
        let txn = txn.expect(keys::job(job), None).expect(keys::outcome(job), None);
        let spec = self.scheduler().job_spec(job);
        match spec.and_then(|spec| encode(spec.as_ref())) {
            Some(value) => txn.put(keys::job(job), value),
            None => txn,
        }
    }

    /// Updates the known revisions after a batch became durable. Caches the
    /// outcomes in it and records an event for each.
    pub(super) fn mark_written(&self, records: &[Record], revision: StoreRevision) {
        for record in records {
            let mut revisions = lock(&self.revisions);
            match record.kind {
                RecordKind::Progress(_) => {
                    revisions.progress.insert(record.job, revision);
                    revisions.jobs.entry(record.job).or_insert(revision);
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
}

/// Drops checkpoints from records that the store refuses. Returns whether there were any.
fn drop_checkpoints(records: &mut [Record]) -> bool {
    let dropped = records.iter_mut().map(|record| match &mut record.kind {
        RecordKind::Progress(progress) => progress.drop_checkpoints(),
        RecordKind::End(_) => false,
    });
    dropped.fold(false, |any, dropped| any | dropped)
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
