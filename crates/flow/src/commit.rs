//! Records to write to the store, and what follows once they are durable.

use vg_base::prelude::*;

use crate::workers::worker::WorkerKey;
use crate::{JobOutcome, Progress, Scheduler};

/// A record to write for one job.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The job.
    pub job: JobId,
    /// The content.
    pub kind: RecordKind,
}

/// Content of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordKind {
    /// Its progress.
    Progress(Progress),
    /// Its outcome; its other records are deleted.
    End(JobOutcome),
}

/// Everything that is to become durable next. The ends that it covers are
/// acknowledged to the workers afterwards.
#[derive(Debug, Clone, Default)]
pub struct CommitBatch {
    /// The records.
    pub records: Vec<Record>,
    /// Ends that the records cover: worker, start of its incarnation, and
    /// number of the last end.
    pub(crate) ends: Vec<(WorkerKey, u64, u64)>,
}

impl CommitBatch {
    /// Whether there is nothing to write or to acknowledge.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.ends.is_empty()
    }
}

impl Scheduler {
    /// Whether a job has an outcome that is not in a batch yet: callers wait
    /// for outcomes.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Whether anything is not durable yet.
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
            || self.workers.values().any(|worker| worker.received > worker.acknowledged)
    }

    /// Returns what is to become durable next. Only one batch is in progress at
    /// a time; it is written completely before [`Scheduler::batch_committed`]
    /// is called.
    pub fn next_batch(&mut self) -> CommitBatch {
        self.urgent = false;
        let mut batch = CommitBatch::default();
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(key) else { continue };
            job.dirty = false;
            if job.ended_durably {
                continue;
            }
            let kind = match job.ended {
                Some(outcome) => RecordKind::End(outcome),
                None => RecordKind::Progress(job.progress()),
            };
            batch.records.push(Record { job: job.id, kind });
        }
        let unacknowledged =
            self.workers.iter().filter(|(_, worker)| worker.received > worker.acknowledged);
        batch.ends = unacknowledged
            .map(|(key, worker)| (key, worker.incarnation.start_ms, worker.received))
            .collect();
        batch
    }

    /// Records that a batch is durable.
    pub fn batch_committed(&mut self, batch: &CommitBatch) {
        for record in &batch.records {
            let Some(&key) = self.job_ids.get(&record.job) else { continue };
            match &record.kind {
                RecordKind::Progress(progress) => self.jobs[key].pools.recorded(&progress.pools),
                RecordKind::End(outcome) => {
                    self.jobs[key].ended = Some(*outcome);
                    self.jobs[key].ended_durably = true;
                    self.forget_if_finished(key);
                }
            }
        }
        for &(key, start_ms, received) in &batch.ends {
            let Some(worker) = self.workers.get_mut(key) else { continue };
            if worker.incarnation.start_ms == start_ms {
                worker.acknowledged = worker.acknowledged.max(received);
                worker.uncommitted_ends.retain(|&(number, _)| number > worker.acknowledged);
            }
        }
    }
}
