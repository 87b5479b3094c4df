//! The journal of a pool, as written by the pool's owner.

use std::collections::VecDeque;

use bytes::Bytes;
use vg_base::prelude::*;

use super::head::Head;
use super::index::{Compaction, Index};
use super::record::LogEntry;
use super::{
    Batch, BatchId, Commit, CommitOutcome, Durability, Expect, JournalError, Record, StageId,
    Stored, Write, head_key, log_key, segment,
};
use crate::Limits;

/// Largest number of bytes of new records in one batch. Together with the records
/// copied by a compaction, a segment stays below 256 KB.
const BATCH_MAX_BYTES: usize = 128 * 1024;

/// A change that waits to become durable.
#[derive(Debug)]
struct StagedChange {
    entry: LogEntry,
    frame: Bytes,
}

/// Progress of the pending batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchPhase {
    /// The batch was returned to the caller, and the store's answer is awaited.
    Sent,
    /// The store's answer does not tell whether the batch took effect, so the head
    /// has to be read.
    ReadingHead,
    /// The batch has to be returned to the caller again.
    Resend,
}

/// The batch that is being committed.
#[derive(Debug)]
struct PendingBatch {
    batch: Batch,
    phase: BatchPhase,
    /// Number of staged changes in the batch.
    changes: usize,
    /// Position of the last change in the batch.
    through: StageId,
    compaction: Compaction,
}

/// The journal of one pool, written by its owner.
#[derive(Debug)]
pub struct Journal {
    pool: PoolId,
    head: Head,
    /// Revision of the head's last write.
    revision: i64,
    /// Position of the last staged change.
    last_staged: StageId,
    /// Position of the last durable change.
    durable: StageId,
    index: Index,
    /// Changes that are not durable yet, including those in the pending batch.
    staged: VecDeque<StagedChange>,
    staged_bytes: usize,
    /// Time since when a staged change waits for a batch.
    waiting_since: Option<Instant>,
    /// Time when a batch was last returned to the caller.
    last_batch: Option<Instant>,
    pending: Option<PendingBatch>,
    fenced: bool,
}

impl Journal {
    pub(crate) fn new(pool: PoolId, head: Head, revision: i64, index: Index) -> Journal {
        let serial = head.serial;
        Journal {
            pool,
            head,
            revision,
            last_staged: serial,
            durable: serial,
            index,
            staged: VecDeque::new(),
            staged_bytes: 0,
            waiting_since: None,
            last_batch: None,
            pending: None,
            fenced: false,
        }
    }

    /// Returns the pool.
    pub fn pool(&self) -> &PoolId {
        &self.pool
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.head.epoch
    }

    /// Returns the position of the last durable change.
    pub fn durable(&self) -> StageId {
        self.durable
    }

    /// Returns the number of bytes of changes that are not durable yet.
    pub fn staged_bytes(&self) -> usize {
        self.staged_bytes
    }

    /// Returns the number of segments in the log.
    pub fn segments(&self) -> usize {
        self.index.segments()
    }

    /// Returns the number of bytes of current records in the log.
    pub fn live_bytes(&self) -> usize {
        self.index.live_bytes()
    }

    /// Whether another member has taken over the pool.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Stages a change for the next batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the change can't be encoded. Nothing is staged then.
    pub(crate) fn stage(&mut self, record: Record, now: Instant) -> Result<StageId, JournalError> {
        let serial = StageId(self.last_staged.0 + 1);
        let entry = LogEntry { serial, record };
        let frame = entry.encode()?;
        self.last_staged = serial;
        self.staged_bytes += frame.len();
        self.staged.push_back(StagedChange { entry, frame });
        self.waiting_since.get_or_insert(now);
        Ok(serial)
    }

    /// Returns the jobs whose acceptance is not known to be durable: those in the
    /// pending batch, and those that wait for a later batch.
    pub(crate) fn unconfirmed_jobs(&self) -> (Vec<JobId>, Vec<JobId>) {
        let in_batch_count = self.pending.as_ref().map_or(0, |pending| pending.changes);
        let accepted = |staged: &StagedChange| match staged.entry.record {
            Record::Accepted { job, .. } => Some(job),
            _ => None,
        };
        let in_batch = self.staged.iter().take(in_batch_count).filter_map(accepted).collect();
        let waiting = self.staged.iter().skip(in_batch_count).filter_map(accepted).collect();
        (in_batch, waiting)
    }

    /// Returns a batch to commit now, or `None` if none is due or one is pending
    /// already.
    ///
    /// The store's answer has to be passed to [`Journal::handle_commit`].
    ///
    /// # Errors
    ///
    /// Returns an error if the head can't be encoded.
    pub fn next_batch(
        &mut self,
        limits: &Limits,
        now: Instant,
    ) -> Result<Option<Batch>, JournalError> {
        let interval_passed =
            self.last_batch.is_none_or(|last| now >= last + limits.batch_interval);
        if self.fenced || !interval_passed {
            return Ok(None);
        }
        if let Some(pending) = &mut self.pending {
            if pending.phase != BatchPhase::Resend {
                return Ok(None);
            }
            pending.phase = BatchPhase::Sent;
            self.last_batch = Some(now);
            return Ok(Some(pending.batch.clone()));
        }
        let delay_passed =
            self.waiting_since.is_some_and(|since| now >= since + limits.batch_delay);
        if !delay_passed && self.staged_bytes < BATCH_MAX_BYTES {
            return Ok(None);
        }
        let pending = self.build_batch(limits)?;
        let batch = pending.batch.clone();
        self.pending = Some(pending);
        self.last_batch = Some(now);
        Ok(Some(batch))
    }

    /// Builds the next batch: a segment with the staged changes and the records
    /// copied by a compaction, the deletion of compacted segments, and the new
    /// head.
    fn build_batch(&self, limits: &Limits) -> Result<PendingBatch, JournalError> {
        let changes = self.next_batch_len();
        let compaction = self.index.plan_compaction(limits.base_segments);
        let id = BatchId { epoch: self.head.epoch, seq: self.head.batch.seq + 1 };
        let last = self.staged.get(changes.saturating_sub(1));
        let through = last.map_or(self.durable, |staged| staged.entry.serial);
        let segments = self.index.segments() + 1 - compaction.victims.len();
        let head =
            Head { batch: id, serial: through, segments: segments as u32, ..self.head.clone() };

        let new = self.staged.iter().take(changes).map(|staged| &staged.frame);
        let copied = compaction.copies.iter().map(|copy| &copy.frame);
        let frames: Vec<&Bytes> = copied.chain(new).collect();
        let value = segment::pack(id, self.head.serial, frames.into_iter());

        let expect = Expect { key: head_key(&self.pool), revision: Some(self.revision) };
        let mut writes = vec![
            Write::Put { key: head_key(&self.pool), value: head.encode()? },
            Write::Put { key: log_key(&self.pool, id.seq), value },
        ];
        let deletes = compaction.victims.iter().map(|&seq| log_key(&self.pool, seq));
        writes.extend(deletes.map(|key| Write::Delete { key }));
        let batch = Batch { id, expects: vec![expect], writes };
        Ok(PendingBatch { batch, phase: BatchPhase::Sent, changes, through, compaction })
    }

    /// Returns the number of staged changes that go into the next batch.
    fn next_batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = |staged: &&StagedChange| {
            bytes += staged.frame.len();
            bytes <= BATCH_MAX_BYTES
        };
        self.staged.iter().take_while(fits).count()
    }

    /// Handles the store's answer to a batch.
    pub fn handle_commit(&mut self, id: BatchId, commit: Commit, now: Instant) -> CommitOutcome {
        let Some(pending) = &mut self.pending else { return CommitOutcome::Stale };
        if pending.batch.id != id {
            return CommitOutcome::Stale;
        }
        match commit {
            Commit::Done { revision } => self.finish_batch(revision, now),
            Commit::Unreached => {
                pending.phase = BatchPhase::Resend;
                CommitOutcome::Retry
            }
            // The conflict may be with an earlier commit of the same batch, whose
            // answer was lost.
            Commit::Conflict | Commit::Lost => {
                pending.phase = BatchPhase::ReadingHead;
                CommitOutcome::ReadHead
            }
        }
    }

    /// Handles the head as read after [`CommitOutcome::ReadHead`].
    ///
    /// # Errors
    ///
    /// Returns an error if the head can't be decoded. The batch stays pending then.
    pub fn handle_head(
        &mut self,
        found: Option<&Stored>,
        now: Instant,
    ) -> Result<CommitOutcome, JournalError> {
        let Some(pending) = &mut self.pending else { return Ok(CommitOutcome::Stale) };
        if pending.phase != BatchPhase::ReadingHead {
            return Ok(CommitOutcome::Stale);
        }
        // A missing head was deleted by hand, so nothing is known about the batch.
        let Some(stored) = found else { return Ok(self.fence(Durability::Unknown)) };
        let head = Head::decode(&self.pool, &stored.value)?;
        if head.epoch != self.head.epoch || head.holder != self.head.holder {
            let durability = durability_under(&head, &self.head, pending.batch.id.seq);
            return Ok(self.fence(durability));
        }
        if head.batch == pending.batch.id {
            return Ok(self.finish_batch(stored.revision, now));
        }
        // The earlier commit may still reach the store. The batch is sent again
        // unchanged: both commits expect the same revision of the head, so only one
        // of them takes effect.
        pending.phase = BatchPhase::Resend;
        Ok(CommitOutcome::Retry)
    }

    /// Marks the journal as fenced, so that it returns no more batches.
    fn fence(&mut self, durability: Durability) -> CommitOutcome {
        self.fenced = true;
        CommitOutcome::Fenced(durability)
    }

    /// Updates the journal after the pending batch took effect.
    fn finish_batch(&mut self, revision: i64, now: Instant) -> CommitOutcome {
        let Some(pending) = self.pending.take() else { return CommitOutcome::Stale };
        let seq = pending.batch.id.seq;
        self.index.add_segment(seq);
        self.index.apply_compaction(seq, &pending.compaction);
        for staged in self.staged.drain(..pending.changes) {
            self.staged_bytes -= staged.frame.len();
            self.index.insert(seq, &staged.entry, staged.frame);
        }
        self.waiting_since = (!self.staged.is_empty()).then_some(now);
        self.head.batch = pending.batch.id;
        self.head.serial = pending.through;
        self.revision = revision;
        self.durable = pending.through;
        CommitOutcome::Durable(pending.through)
    }
}

/// Returns what the head of another owner tells about a batch of this owner.
fn durability_under(found: &Head, own: &Head, seq: u64) -> Durability {
    if found.epoch != own.epoch.next() {
        return Durability::Unknown;
    }
    if found.base >= seq { Durability::Durable } else { Durability::NotWritten }
}
