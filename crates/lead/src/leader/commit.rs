//! Making the leader's changes durable.

use std::collections::HashMap;
use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{Final, Record, RecordKind, WaveRecord};
use vg_net::to_msgpack;
use vg_store::{Entry, Error, LeaseId, Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::host::lock;
use crate::keys::{self, EndValue, TERM};

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
/// Time after which ends get another lease, so that each is kept long enough.
const LEASE_PERIOD: Duration = Duration::from_secs(60);

/// Revisions of what was written last.
#[derive(Debug, Default)]
pub(super) struct Versions {
    pub(super) jobs: HashMap<JobId, StoreRevision>,
    pub(super) progress: HashMap<JobId, StoreRevision>,
    pub(super) waves: (Option<StoreRevision>, Vec<WaveRecord>),
}

/// One transaction and the records in it.
struct Part<'a> {
    records: Vec<&'a Record>,
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Writes changes as they come, several in one transaction.
    pub(super) async fn commit_changes(self: Arc<Self>) {
        let mut lease: Option<(LeaseId, Instant)> = None;
        loop {
            self.gather().await;
            let sweep = self.flow().sweep();
            if sweep.is_empty() {
                continue;
            }
            let has_end = |record: &Record| matches!(record.kind, RecordKind::End(_));
            if sweep.records.iter().any(has_end) {
                self.renew_end_lease(&mut lease).await;
            }
            let mut parts: Vec<_> = sweep
                .records
                .chunks(ENTRIES_MAX / RECORD_ENTRIES)
                .map(|records| Part { records: records.iter().collect() })
                .collect();
            for part in &mut parts {
                self.write_part(part, &mut lease).await;
            }
            self.flow().swept(&sweep);
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

    async fn renew_end_lease(&self, lease: &mut Option<(LeaseId, Instant)>) {
        let clock = &self.host.inner.clock;
        while lease.is_none_or(|(_, at)| clock.now().saturating_duration_since(at) > LEASE_PERIOD) {
            match self.host.store().grant(self.host.inner.options.keep_ends).await {
                Ok(granted) => *lease = Some((granted, clock.now())),
                Err(error) => {
                    log::debug!(target: "store", "no lease for ends: {error}");
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }

    /// Writes one transaction until it is proved durable or the leadership is
    /// lost.
    async fn write_part(&self, part: &mut Part<'_>, lease: &mut Option<(LeaseId, Instant)>) {
        while !part.records.is_empty() {
            let txn = self.transaction(&part.records, lease.map(|(lease, _)| lease));
            match self.host.store().commit(txn).await {
                Ok(TxnOutcome::Done { revision }) => {
                    self.host.note_store();
                    self.host.inner.metrics.committed("done");
                    self.written(&part.records, revision);
                    return;
                }
                Ok(TxnOutcome::Conflict { found }) => {
                    self.host.inner.metrics.committed("conflict");
                    self.settle(part, &found).await;
                }
                Err(Error::LeaseLapsed) => {
                    *lease = None;
                    self.renew_end_lease(lease).await;
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
                    let Ok(value) = to_msgpack(value) else { continue };
                    txn = txn
                        .expect(keys::progress(job), progress)
                        .put(keys::progress(job), value);
                }
                RecordKind::End(how) => {
                    let team = self.flow().team(job).flatten();
                    let Ok(value) = to_msgpack(&EndValue { how: *how, team }) else { continue };
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
                        Final::Cancelled => txn.delete(keys::cancel(job)),
                        Final::Done | Final::Failed => txn.expect(keys::cancel(job), None),
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
                    let team = self.flow().team(record.job).flatten();
                    self.host.remember_end(record.job, &EndValue { how, team });
                    let code = match how {
                        Final::Done => Code::JobDone,
                        Final::Failed => Code::JobFailed,
                        Final::Cancelled => Code::JobCancelled,
                    };
                    self.host.record(code, [Field::new("job", record.job)]);
                }
            }
        }
    }

    /// Finds out why a transaction met a conflict: it had taken effect before,
    /// a job was cancelled meanwhile, or another host leads.
    async fn settle(&self, part: &mut Part<'_>, found: &[Entry]) {
        let find = |key: &vg_store::Key| found.iter().find(|entry| entry.key == *key);
        let term = find(&TERM.into());
        if term.is_none_or(|term| term.modified.0 as u64 != self.fence.0) {
            self.lose("the term has changed");
            // The task ends with the leadership.
            std::future::pending::<()>().await;
        }
        let applied = part.records.iter().any(|record| match &record.kind {
            RecordKind::Progress(value) => {
                let entry = find(&keys::progress(record.job));
                let same = to_msgpack(value).ok();
                entry.is_some_and(|entry| Some(&entry.value) == same.as_ref())
                    && entry.map(|entry| entry.modified)
                        != lock(&self.committed).progress.get(&record.job).copied()
            }
            RecordKind::End(_) => find(&keys::job(record.job)).is_none(),
        });
        if applied {
            let revision = part
                .records
                .iter()
                .find_map(|record| find(&keys::progress(record.job)))
                .map_or(StoreRevision(0), |entry| entry.modified);
            self.written(&part.records, revision);
            part.records.clear();
            return;
        }
        let now = self.host.inner.clock.now();
        part.records.retain(|record| {
            let cancelled = find(&keys::cancel(record.job)).is_some();
            if cancelled {
                self.flow().cancel(record.job, now);
            }
            !cancelled
        });
        // What is left is written with the revisions that the store has.
        for record in &part.records {
            if let RecordKind::Progress(_) = record.kind {
                let revision = find(&keys::progress(record.job)).map(|entry| entry.modified);
                let mut versions = lock(&self.committed);
                match revision {
                    Some(revision) => versions.progress.insert(record.job, revision),
                    None => versions.progress.remove(&record.job),
                };
            }
        }
    }
}
