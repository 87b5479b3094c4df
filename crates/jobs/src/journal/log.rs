//! The journal of a pool as its owner writes it.

use std::collections::VecDeque;

use bytes::Bytes;
use vg_base::prelude::*;

use super::head::Head;
use super::index::{Cleaning, Index};
use super::record::Sealed;
use super::{
    Batch, BatchId, Commit, CommitOutcome, Durability, Expect, JournalError, Record, StageId,
    Stored, Write, head_key, log_key, segment,
};
use crate::Limits;

/// Most bytes of new records in one batch; with the copies of a cleaning a
/// segment stays below 256 KB.
const BATCH_MAX_BYTES: usize = 128 * 1024;

/// A change that waits for its batch.
#[derive(Debug)]
struct Staged {
    sealed: Sealed,
    frame: Bytes,
}

/// What the store is known to do with the batch under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Handed out; its answer is awaited.
    Out,
    /// Handed out; the head has to be read to know how it ended.
    Reading,
    /// To be handed out again.
    Again,
}

/// The batch under way.
#[derive(Debug)]
struct Flight {
    batch: Batch,
    phase: Phase,
    changes: usize,
    through: StageId,
    cleaning: Cleaning,
}

/// The journal of one pool, written by its owner.
#[derive(Debug)]
pub struct Journal {
    pool: PoolId,
    head: Head,
    revision: i64,
    given: StageId,
    durable: StageId,
    index: Index,
    staged: VecDeque<Staged>,
    staged_bytes: usize,
    waiting_since: Option<Instant>,
    last_batch: Option<Instant>,
    flight: Option<Flight>,
    fenced: bool,
}

impl Journal {
    pub(crate) fn new(pool: PoolId, head: Head, revision: i64, index: Index) -> Journal {
        let serial = head.serial;
        Journal {
            pool,
            head,
            revision,
            given: serial,
            durable: serial,
            index,
            staged: VecDeque::new(),
            staged_bytes: 0,
            waiting_since: None,
            last_batch: None,
            flight: None,
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

    /// Returns the last durable change.
    pub fn durable(&self) -> StageId {
        self.durable
    }

    /// Returns the bytes of changes that are not durable yet.
    pub fn staged_bytes(&self) -> usize {
        self.staged_bytes
    }

    /// Returns how many segments the log has.
    pub fn segments(&self) -> usize {
        self.index.segments()
    }

    /// Returns the bytes of current records in the log.
    pub fn live_bytes(&self) -> usize {
        self.index.live_bytes()
    }

    /// Whether another owner has the pool.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Stages a change for the next batch.
    ///
    /// # Errors
    ///
    /// When the change can't be encoded; nothing is staged then.
    pub(crate) fn stage(&mut self, record: Record, now: Instant) -> Result<StageId, JournalError> {
        let serial = StageId(self.given.0 + 1);
        let sealed = Sealed { serial, record };
        let frame = sealed.encode()?;
        self.given = serial;
        self.staged_bytes += frame.len();
        self.staged.push_back(Staged { sealed, frame });
        self.waiting_since.get_or_insert(now);
        Ok(serial)
    }

    /// Returns the jobs with an unproved acceptance, in and out of the batch
    /// under way.
    pub(crate) fn unproved(&self) -> (Vec<JobId>, Vec<JobId>) {
        let in_flight = self.flight.as_ref().map_or(0, |flight| flight.changes);
        let accepted = |staged: &Staged| match staged.sealed.record {
            Record::Accepted { job, .. } => Some(job),
            _ => None,
        };
        let flown = self.staged.iter().take(in_flight).filter_map(accepted).collect();
        let waiting = self.staged.iter().skip(in_flight).filter_map(accepted).collect();
        (flown, waiting)
    }

    /// Returns a batch to commit now, if one is due and none is under way.
    ///
    /// Hand the store's answer to [`Journal::handle_commit`].
    ///
    /// # Errors
    ///
    /// When the head can't be encoded.
    pub fn next_batch(
        &mut self,
        limits: &Limits,
        now: Instant,
    ) -> Result<Option<Batch>, JournalError> {
        let paced = self.last_batch.is_none_or(|last| now >= last + limits.batch_interval);
        if self.fenced || !paced {
            return Ok(None);
        }
        if let Some(flight) = &mut self.flight {
            if flight.phase != Phase::Again {
                return Ok(None);
            }
            flight.phase = Phase::Out;
            self.last_batch = Some(now);
            return Ok(Some(flight.batch.clone()));
        }
        let waited = self.waiting_since.is_some_and(|since| now >= since + limits.batch_delay);
        if !waited && self.staged_bytes < BATCH_MAX_BYTES {
            return Ok(None);
        }
        let flight = self.build(limits)?;
        let batch = flight.batch.clone();
        self.flight = Some(flight);
        self.last_batch = Some(now);
        Ok(Some(batch))
    }

    fn build(&self, limits: &Limits) -> Result<Flight, JournalError> {
        let changes = self.fill();
        let cleaning = self.index.cleaning(limits.base_segments);
        let id = BatchId { epoch: self.head.epoch, seq: self.head.batch.seq + 1 };
        let last = self.staged.get(changes.saturating_sub(1));
        let through = last.map_or(self.durable, |staged| staged.sealed.serial);
        let segments = self.index.segments() + 1 - cleaning.victims.len();
        let head =
            Head { batch: id, serial: through, segments: segments as u32, ..self.head.clone() };

        let new = self.staged.iter().take(changes).map(|staged| &staged.frame);
        let copied = cleaning.copies.iter().map(|copy| &copy.frame);
        let frames: Vec<&Bytes> = copied.chain(new).collect();
        let value = segment::pack(id, self.head.serial, frames.into_iter());

        let expect = Expect { key: head_key(&self.pool), revision: Some(self.revision) };
        let mut writes = vec![
            Write::Put { key: head_key(&self.pool), value: head.encode()? },
            Write::Put { key: log_key(&self.pool, id.seq), value },
        ];
        let deletes = cleaning.victims.iter().map(|&seq| log_key(&self.pool, seq));
        writes.extend(deletes.map(|key| Write::Delete { key }));
        let batch = Batch { id, expects: vec![expect], writes };
        Ok(Flight { batch, phase: Phase::Out, changes, through, cleaning })
    }

    /// Returns how many staged changes go into the next batch.
    fn fill(&self) -> usize {
        let mut bytes = 0;
        let fits = |staged: &&Staged| {
            bytes += staged.frame.len();
            bytes <= BATCH_MAX_BYTES
        };
        self.staged.iter().take_while(fits).count()
    }

    /// Takes in the store's answer to a batch.
    pub fn handle_commit(&mut self, id: BatchId, commit: Commit, now: Instant) -> CommitOutcome {
        let Some(flight) = &mut self.flight else { return CommitOutcome::Stale };
        if flight.batch.id != id {
            return CommitOutcome::Stale;
        }
        match commit {
            Commit::Done { revision } => self.settle(revision, now),
            Commit::Unreached => {
                flight.phase = Phase::Again;
                CommitOutcome::Retry
            }
            // A conflict can be with an earlier, lost commit of the same batch.
            Commit::Conflict | Commit::Lost => {
                flight.phase = Phase::Reading;
                CommitOutcome::ReadHead
            }
        }
    }

    /// Takes in the head as read after [`CommitOutcome::ReadHead`].
    ///
    /// # Errors
    ///
    /// When the head can't be read; the batch stays under way.
    pub fn handle_head(
        &mut self,
        found: Option<&Stored>,
        now: Instant,
    ) -> Result<CommitOutcome, JournalError> {
        let Some(flight) = &mut self.flight else { return Ok(CommitOutcome::Stale) };
        if flight.phase != Phase::Reading {
            return Ok(CommitOutcome::Stale);
        }
        // A head that is gone was deleted by hand: nothing can be proved.
        let Some(stored) = found else { return Ok(self.fence(Durability::Unknown)) };
        let head = Head::decode(&self.pool, &stored.value)?;
        if head.epoch != self.head.epoch || head.holder != self.head.holder {
            let fate = fate_under(&head, &self.head, flight.batch.id.seq);
            return Ok(self.fence(fate));
        }
        if head.batch == flight.batch.id {
            return Ok(self.settle(stored.revision, now));
        }
        // The batch may still reach the store. It is sent again unchanged: both
        // expect the same revision of the head, so one of them takes effect.
        flight.phase = Phase::Again;
        Ok(CommitOutcome::Retry)
    }

    fn fence(&mut self, fate: Durability) -> CommitOutcome {
        self.fenced = true;
        CommitOutcome::Fenced(fate)
    }

    fn settle(&mut self, revision: i64, now: Instant) -> CommitOutcome {
        let Some(flight) = self.flight.take() else { return CommitOutcome::Stale };
        let seq = flight.batch.id.seq;
        self.index.open(seq);
        self.index.cleaned(seq, &flight.cleaning);
        for staged in self.staged.drain(..flight.changes) {
            self.staged_bytes -= staged.frame.len();
            self.index.enter(seq, &staged.sealed, staged.frame);
        }
        self.waiting_since = (!self.staged.is_empty()).then_some(now);
        self.head.batch = flight.batch.id;
        self.head.serial = flight.through;
        self.revision = revision;
        self.durable = flight.through;
        CommitOutcome::Durable(flight.through)
    }
}

/// Returns what another owner's head tells of a batch of the owner before.
fn fate_under(found: &Head, own: &Head, seq: u64) -> Durability {
    if found.epoch != own.epoch.next() {
        return Durability::Unknown;
    }
    if found.base >= seq { Durability::Durable } else { Durability::NotWritten }
}
