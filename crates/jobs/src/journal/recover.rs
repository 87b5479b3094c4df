//! Recovers a pool's jobs from its journal after a takeover.

use std::collections::{BTreeMap, HashSet};

use bytes::Bytes;
use derive_more::Display;
use vg_base::prelude::*;

use super::head::{Head, check_holder};
use super::index::{Index, last_serial};
use super::job_records::JobRecords;
use super::record::LogEntry;
use super::{
    DurableState, Journal, JournalError, Record, StageId, Stored, head_key, journal_prefix, segment,
};
use crate::{Attempt, JobSpec, JobState};

/// A problem that recovery found. Nothing that an event names is deleted.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RecoveryEvent {
    /// A segment could be read only in part or not at all.
    #[display("segment {key}: {reason}")]
    DamagedSegment {
        /// Key of the segment.
        key: SmolStr,
        /// What is wrong with the segment.
        reason: SmolStr,
    },
    /// The number of segments in the log differs from the number in its head.
    #[display("the log has {found} segments, its head names {expected}")]
    SegmentCount {
        /// Number of segments according to the head.
        expected: u32,
        /// Number of segments found.
        found: u32,
    },
    /// A key under the journal's prefix is not a key of the journal.
    #[display("{key} is not a key of the journal")]
    ForeignKey {
        /// The key.
        key: SmolStr,
    },
    /// Two records with the same position have different content.
    #[display("job {job} has conflicting records")]
    ConflictingRecords {
        /// The job.
        job: JobId,
    },
    /// The specification of a job is lost, so the job can't run.
    #[display("the specification of job {job} is lost, its last state was {state}")]
    SpecLost {
        /// The job.
        job: JobId,
        /// Last known state of the job.
        state: JobState,
    },
    /// A later record of this job may be lost.
    #[display("a later record of job {job} may be lost, its last known state is {state}")]
    Unresolved {
        /// The job.
        job: JobId,
        /// Last known state of the job.
        state: JobState,
    },
}

/// A job as recovered from the journal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredJob {
    /// The job.
    pub job: JobId,
    /// The specification of the job.
    pub spec: JobSpec,
    /// Position of its acceptance.
    pub accepted: StageId,
    /// The durable part of the job.
    pub durable: DurableState,
    /// Whether a later record of the job may be lost.
    pub unresolved: bool,
}

/// A recovered journal.
#[derive(Debug)]
pub struct Recovered {
    /// The journal, ready for changes.
    pub journal: Journal,
    /// All jobs in the order of their acceptance.
    pub jobs: Vec<RecoveredJob>,
    /// The problems that were found.
    pub events: Vec<RecoveryEvent>,
}

/// Recovers a pool's journal from the values under [`journal_prefix`], read after
/// [`claim`](super::claim).
///
/// # Errors
///
/// Returns an error if the head can't be decoded or another member owns the pool.
pub fn recover(
    pool: &PoolId,
    member: &Member,
    values: &[Stored],
) -> Result<Recovered, JournalError> {
    let head_key = head_key(pool);
    let stored = values.iter().find(|stored| stored.key == head_key);
    let empty = Bytes::new();
    let head = Head::decode(pool, stored.map_or(&empty, |stored| &stored.value))?;
    check_holder(pool, member, &head)?;

    let mut reader = LogReader::new(pool);
    values
        .iter()
        .filter(|stored| stored.key != head_key)
        .for_each(|each| reader.read_segment(each));
    let bound = reader.lost_record_bound(&head);
    let jobs = reader.jobs(bound);
    let revision = stored.map_or(0, |stored| stored.revision);
    let journal = Journal::new(pool.clone(), head, revision, reader.index);
    Ok(Recovered { journal, jobs, events: reader.events })
}

/// Reader of the segments of a log.
struct LogReader {
    prefix: SmolStr,
    index: Index,
    /// For each undamaged segment, the position of the last change before its
    /// batch.
    bases: BTreeMap<u64, StageId>,
    damaged: Vec<u64>,
    conflicting: HashSet<JobId>,
    events: Vec<RecoveryEvent>,
}

impl LogReader {
    fn new(pool: &PoolId) -> LogReader {
        LogReader {
            prefix: smol_str::format_smolstr!("{}log/", journal_prefix(pool)),
            index: Index::default(),
            bases: BTreeMap::new(),
            damaged: Vec::new(),
            conflicting: HashSet::new(),
            events: Vec::new(),
        }
    }

    /// Adds the records of a stored value to the index. Damage is reported as an
    /// event.
    fn read_segment(&mut self, stored: &Stored) {
        let digits = stored.key.strip_prefix(self.prefix.as_str());
        let seq = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        let Some(seq) = seq else {
            self.events.push(RecoveryEvent::ForeignKey { key: stored.key.clone() });
            return;
        };
        let unpacked = segment::unpack(seq, stored.value.clone());
        self.index.add_segment(seq);
        if let Some(reason) = unpacked.damage {
            self.events.push(RecoveryEvent::DamagedSegment { key: stored.key.clone(), reason });
            self.index.mark_unreadable(seq);
            self.damaged.push(seq);
        } else if let Some(base) = unpacked.base {
            self.bases.insert(seq, base);
        }
        for (frame, entry) in unpacked.frames {
            self.insert_entry(seq, frame, &entry);
        }
    }

    /// Adds a record to the index, and reports two different records with the same
    /// position.
    fn insert_entry(&mut self, seq: u64, frame: Bytes, entry: &LogEntry) {
        if self.index.insert(seq, entry, frame) {
            return;
        }
        let job = entry.record.job();
        self.conflicting.insert(job);
        self.events.push(RecoveryEvent::ConflictingRecords { job });
    }

    /// Returns the highest position that a lost record can have, or `None` if no
    /// record is lost.
    fn lost_record_bound(&mut self, head: &Head) -> Option<StageId> {
        let found = self.index.segments() as u32;
        if found != head.segments {
            self.events.push(RecoveryEvent::SegmentCount { expected: head.segments, found });
            return Some(head.serial);
        }
        let bound = |seq: u64| {
            let after = self.bases.range(seq + 1..).next();
            after.map_or(head.serial, |(_, &base)| base)
        };
        self.damaged.iter().map(|&seq| bound(seq)).max()
    }

    /// Returns all jobs that are not purged, in the order of their acceptance.
    /// `bound` is the highest position of a lost record: a job whose latest record
    /// is not above it is unresolved.
    fn jobs(&mut self, bound: Option<StageId>) -> Vec<RecoveredJob> {
        let mut jobs = Vec::new();
        for (&job, records) in self.index.records().filter(|(_, records)| !records.purged) {
            match read_job(job, records) {
                Ok(mut recovered) => {
                    let lost = bound.is_some_and(|bound| last_serial(records) <= bound);
                    recovered.unresolved = lost || self.conflicting.contains(&job);
                    jobs.push(recovered);
                }
                Err(state) => self.events.push(RecoveryEvent::SpecLost { job, state }),
            }
        }
        jobs.sort_unstable_by_key(|job| job.accepted);
        let open = jobs.iter().filter(|job| job.unresolved && !job.durable.state.is_final());
        let unresolved =
            open.map(|job| RecoveryEvent::Unresolved { job: job.job, state: job.durable.state });
        self.events.extend(unresolved);
        jobs
    }
}

/// Decodes the records of a job. Returns its last known state as the error if the
/// specification is lost.
fn read_job(job: JobId, records: &JobRecords) -> Result<RecoveredJob, JobState> {
    let entry = |copy: &super::job_records::RecordCopy| LogEntry::decode(&copy.frame);
    let change = records.change.as_ref().and_then(entry).map(|entry| entry.record);
    let durable = match change {
        Some(Record::Changed { durable, .. }) => Some(durable),
        _ => None,
    };
    let spec = records.spec.as_ref().and_then(entry);
    let Some(LogEntry { serial, record: Record::Accepted { spec, at, .. } }) = spec else {
        return Err(durable.map_or(JobState::Unknown, |durable| durable.state));
    };
    let durable = durable.unwrap_or_else(|| queued_state(at));
    Ok(RecoveredJob { job, spec, accepted: serial, durable, unresolved: false })
}

/// Returns the state of a job that was only accepted.
fn queued_state(at: SystemTime) -> DurableState {
    DurableState {
        state: JobState::Queued,
        attempt: Attempt::NONE,
        instance: None,
        failures: 0,
        cancel: false,
        checkpoint: None,
        changed: at,
    }
}
