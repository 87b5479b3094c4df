//! Making the leader's changes durable.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{JobOutcome, Record, RecordKind, WaveRecord};
use vg_store::{Entry, Error, Key, LeaseId, Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::codec::encode;
use crate::host::lock;
use crate::keys::{self, EndValue, Ordered, TERM};

/// Time in which changes gather that no caller waits for.
const GATHER: Duration = Duration::from_millis(50);
/// Time in which changes gather that a caller waits for.
const GATHER_URGENT: Duration = Duration::from_millis(8);
/// Pause before a commit is tried again.
const RETRY: Duration = Duration::from_millis(60);
/// Most entries of a transaction: conditions, writes and deletions.
const ENTRIES_MAX: usize = 30;
/// Entries that a record takes at most.
const RECORD_ENTRIES: usize = 6;
/// Transactions that are under way at once: a slow store answers each of them as
/// late as one.
const PARTS_AT_ONCE: usize = 6;
/// Time after which ends get another lease, so that each is kept long enough.
const LEASE_PERIOD: Duration = Duration::from_secs(60);

/// The lease of the ends that are written now, and when it was granted.
type EndLease = tokio::sync::Mutex<Option<(LeaseId, Instant)>>;

/// Revisions of what was written last.
#[derive(Debug, Default)]
pub(super) struct Versions {
    pub(super) jobs: HashMap<JobId, StoreRevision>,
    pub(super) progress: HashMap<JobId, StoreRevision>,
    pub(super) waves: (Option<StoreRevision>, Vec<WaveRecord>),
    pub(super) orders: (Option<StoreRevision>, Vec<Ordered>),
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Writes changes as they come, several in one transaction.
    pub(super) async fn commit_changes(self: Arc<Self>) {
        let lease = EndLease::default();
        loop {
            self.gather().await;
            let sweep = self.flow().next_batch();
            if sweep.is_empty() {
                continue;
            }
            self.write_all(&sweep.records, &lease).await;
            self.flow().batch_committed(&sweep);
            self.swept.notify_waiters();
            let counts = self.flow().counts();
            self.host.inner.metrics.set_flow(counts);
            self.wake.notify_one();
        }
    }

    /// Waits until something is to be written, and a little longer for more.
    async fn gather(&self) {
        let clock = &self.host.inner.clock;
        self.commit.notified().await;
        let until = clock.now() + GATHER;
        while !self.flow().is_urgent() && clock.now() < until {
            let left = until.saturating_duration_since(clock.now());
            let _ = tokio::time::timeout(left, self.commit.notified()).await;
        }
        tokio::time::sleep(GATHER_URGENT).await;
    }

    /// Returns the lease for ends, a new one if there is none that is fresh.
    async fn end_lease(&self, lease: &EndLease) -> LeaseId {
        let clock = &self.host.inner.clock;
        let mut lease = lease.lock().await;
        loop {
            if let Some((id, at)) = *lease
                && clock.now().saturating_duration_since(at) <= LEASE_PERIOD
            {
                return id;
            }
            match self.host.store().grant(self.host.inner.options.outcome_retention).await {
                Ok(granted) => *lease = Some((granted, clock.now())),
                Err(error) => {
                    log::debug!(target: "store", "no lease for ends: {error}");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    async fn write_all(&self, records: &[Record], lease: &EndLease) {
        let mut writes = FuturesUnordered::new();
        for part in parts(records) {
            if writes.len() >= PARTS_AT_ONCE {
                writes.next().await;
            }
            writes.push(self.write_part(part, lease));
        }
        while writes.next().await.is_some() {}
    }

    /// Writes one transaction until it is proved durable or the leadership is
    /// lost.
    async fn write_part(&self, mut part: Vec<&Record>, lease: &EndLease) {
        while !part.is_empty() {
            let id = match part.iter().any(|record| has_end(record)) {
                true => Some(self.end_lease(lease).await),
                false => None,
            };
            let txn = self.transaction(&part, id);
            match self.host.store().commit(txn).await {
                Ok(TxnOutcome::Committed { revision }) => {
                    self.host.note_store();
                    self.host.inner.metrics.committed("done");
                    self.written(&part, revision);
                    return;
                }
                Ok(TxnOutcome::Conflict { found }) => {
                    self.host.inner.metrics.committed("conflict");
                    self.settle(&mut part, &found).await;
                }
                Err(Error::LeaseExpired) => {
                    lease.lock().await.take_if(|(held, _)| Some(*held) == id);
                }
                Err(error) => {
                    self.host.inner.metrics.committed("failed");
                    log::debug!(target: "store", "commit: {error}");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    fn transaction(&self, records: &[&Record], lease: Option<LeaseId>) -> Txn {
        let versions = lock(&self.committed);
        let mut txn = Txn::new().expect(TERM, Some(StoreRevision(self.fence.0 as i64)));
        for record in records {
            let job = record.job;
            let progress = versions.progress.get(&job).copied();
            match &record.kind {
                RecordKind::Progress(value) => {
                    let Some(value) = encode(value) else { continue };
                    txn = txn.expect(keys::progress(job), progress).put(keys::progress(job), value);
                }
                RecordKind::End(how) => {
                    let team = self.flow().job_team(job).flatten();
                    let Some(value) = encode(&EndValue { how: *how, team }) else { continue };
                    txn = txn.expect(keys::job(job), versions.jobs.get(&job).copied());
                    txn = match lease {
                        Some(lease) => txn.put_leased(keys::end(job), value, lease),
                        None => txn.put(keys::end(job), value),
                    };
                    txn = txn.delete(keys::job(job));
                    if progress.is_some() {
                        txn = txn.delete(keys::progress(job));
                    }
                    // A cancellation that is durable wins over any other end.
                    txn = match how {
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

    fn written(&self, records: &[&Record], revision: StoreRevision) {
        for record in records {
            let mut versions = lock(&self.committed);
            match record.kind {
                RecordKind::Progress(_) => {
                    versions.progress.insert(record.job, revision);
                }
                RecordKind::End(how) => {
                    versions.progress.remove(&record.job);
                    versions.jobs.remove(&record.job);
                    drop(versions);
                    let team = self.flow().job_team(record.job).flatten();
                    self.host.remember_end(record.job, team, how);
                    let code = match how {
                        JobOutcome::Done => Code::JobDone,
                        JobOutcome::Failed => Code::JobFailed,
                        JobOutcome::Cancelled => Code::JobCancelled,
                    };
                    self.host.record(code, [Field::new("job", record.job)]);
                }
            }
        }
    }

    /// Finds out why a transaction met a conflict: a job was cancelled
    /// meanwhile, the transaction had taken effect before, or another host
    /// leads.
    async fn settle(&self, part: &mut Vec<&Record>, found: &[Entry]) {
        if !self.still_leads(found).await {
            // The task ends with the leadership.
            std::future::pending::<()>().await;
        }
        let now = self.host.inner.clock.now();
        let before = part.len();
        part.retain(|record| {
            let cancelled = found.iter().any(|entry| entry.key == keys::cancel(record.job));
            if cancelled {
                self.flow().cancel_job(record.job, now);
            }
            !cancelled
        });
        if part.len() < before {
            return;
        }
        // The answer names some of the keys only, so each is read.
        let mut stored = HashMap::new();
        for record in part.iter() {
            for key in [keys::job(record.job), keys::progress(record.job)] {
                let Ok(entry) = self.host.store().get(&key).await else { return };
                stored.insert(key, entry);
            }
        }
        self.settle_stored(part, &stored);
    }

    /// Compares a transaction that met a conflict with what is stored.
    fn settle_stored(&self, part: &mut Vec<&Record>, stored: &HashMap<Key, Option<Entry>>) {
        let entry = |key: Key| stored.get(&key).and_then(Option::as_ref);
        let has_taken_effect = |record: &&Record| match &record.kind {
            RecordKind::Progress(value) => {
                let known = lock(&self.committed).progress.get(&record.job).copied();
                let bytes = encode(value);
                entry(keys::progress(record.job)).is_some_and(|entry| {
                    Some(entry.modified) != known && Some(&entry.value) == bytes.as_ref()
                })
            }
            RecordKind::End(_) => entry(keys::job(record.job)).is_none(),
        };
        // A transaction takes effect as a whole.
        if part.iter().all(has_taken_effect) {
            for record in std::mem::take(part) {
                let revision = entry(keys::progress(record.job)).map(|entry| entry.modified);
                self.written(&[record], revision.unwrap_or_default());
            }
            return;
        }
        let mut versions = lock(&self.committed);
        for record in part.iter() {
            match entry(keys::progress(record.job)) {
                Some(entry) => versions.progress.insert(record.job, entry.modified),
                None => versions.progress.remove(&record.job),
            };
            if let Some(entry) = entry(keys::job(record.job)) {
                versions.jobs.insert(record.job, entry.modified);
            }
        }
        let mut gone = Vec::new();
        part.retain(|record| {
            let there = entry(keys::job(record.job)).is_some();
            if !there {
                gone.push(record.job);
            }
            there
        });
        for job in gone {
            log::warn!(target: "store", "job {job} is gone from the store and not written");
        }
    }
}

fn has_end(record: &Record) -> bool {
    matches!(record.kind, RecordKind::End(_))
}

/// Divides records into transactions. Callers wait for ends, which come first.
fn parts(records: &[Record]) -> Vec<Vec<&Record>> {
    let ends = records.iter().filter(|record| has_end(record));
    let others = records.iter().filter(|record| !has_end(record));
    let ordered: Vec<_> = ends.chain(others).collect();
    ordered.chunks(ENTRIES_MAX / RECORD_ENTRIES).map(<[_]>::to_vec).collect()
}
