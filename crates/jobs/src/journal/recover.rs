//! Reading a pool's journal back after a change of owner.

use std::collections::{BTreeMap, HashSet};

use bytes::Bytes;
use derive_more::Display;
use vg_base::prelude::*;

use super::head::{Head, check_holder};
use super::index::{Index, last_serial};
use super::record::Sealed;
use super::trace::Trace;
use super::{
    DurableState, Journal, JournalError, Record, StageId, Stored, head_key, journal_prefix, segment,
};
use crate::{Attempt, JobSpec, JobState};

/// Something that recovery found amiss. Nothing that it names is deleted.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RecoveryEvent {
    /// A segment could be read in part or not at all.
    #[display("segment {key}: {reason}")]
    DamagedSegment {
        /// Its key.
        key: SmolStr,
        /// What is wrong with it.
        reason: SmolStr,
    },
    /// The log has another number of segments than its head says.
    #[display("the log has {found} segments, its head says {expected}")]
    SegmentCount {
        /// Segments that the head names.
        expected: u32,
        /// Segments found.
        found: u32,
    },
    /// A key that is not of this form.
    #[display("{key} is no key of a journal")]
    ForeignKey {
        /// The key.
        key: SmolStr,
    },
    /// Two records of one position say different things.
    #[display("job {job} has conflicting records")]
    ConflictingRecords {
        /// The job.
        job: JobId,
    },
    /// A job's specification is lost; it can't run.
    #[display("the specification of job {job} is lost, its last state was {state}")]
    SpecLost {
        /// The job.
        job: JobId,
        /// Its last known state.
        state: JobState,
    },
    /// A later record of this job may be lost.
    #[display("job {job} may have gone on from {state}")]
    Unresolved {
        /// The job.
        job: JobId,
        /// Its last known state.
        state: JobState,
    },
}

/// A job as the journal has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredJob {
    /// The job.
    pub job: JobId,
    /// What was asked.
    pub spec: JobSpec,
    /// Position of its acceptance.
    pub accepted: StageId,
    /// What is durable of it.
    pub durable: DurableState,
    /// Whether a later record may be lost.
    pub unresolved: bool,
}

/// A journal taken over.
#[derive(Debug)]
pub struct Recovered {
    /// The journal, ready for changes.
    pub journal: Journal,
    /// All jobs in the order of their acceptance.
    pub jobs: Vec<RecoveredJob>,
    /// What was amiss.
    pub events: Vec<RecoveryEvent>,
}

/// Reads the values under [`journal_prefix`] after [`claim`](super::claim).
///
/// # Errors
///
/// When the head can't be read or another member holds the pool.
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

    let mut reading = Reading::new(pool);
    values.iter().filter(|stored| stored.key != head_key).for_each(|each| reading.take(each));
    let bound = reading.lost_bound(&head);
    let jobs = reading.jobs(bound);
    let revision = stored.map_or(0, |stored| stored.revision);
    let journal = Journal::new(pool.clone(), head, revision, reading.index);
    Ok(Recovered { journal, jobs, events: reading.events })
}

/// A log while it is read.
struct Reading {
    prefix: SmolStr,
    index: Index,
    /// First position of each segment whose head could be read.
    bases: BTreeMap<u64, StageId>,
    damaged: Vec<u64>,
    conflicting: HashSet<JobId>,
    events: Vec<RecoveryEvent>,
}

impl Reading {
    fn new(pool: &PoolId) -> Reading {
        Reading {
            prefix: smol_str::format_smolstr!("{}log/", journal_prefix(pool)),
            index: Index::default(),
            bases: BTreeMap::new(),
            damaged: Vec::new(),
            conflicting: HashSet::new(),
            events: Vec::new(),
        }
    }

    fn take(&mut self, stored: &Stored) {
        let digits = stored.key.strip_prefix(self.prefix.as_str());
        let seq = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok());
        let Some(seq) = seq else {
            self.events.push(RecoveryEvent::ForeignKey { key: stored.key.clone() });
            return;
        };
        let unpacked = segment::unpack(seq, stored.value.clone());
        self.index.open(seq);
        if let Some(reason) = unpacked.damage {
            self.events.push(RecoveryEvent::DamagedSegment { key: stored.key.clone(), reason });
            self.index.mark_unread(seq);
            self.damaged.push(seq);
        } else if let Some(base) = unpacked.base {
            self.bases.insert(seq, base);
        }
        for (frame, sealed) in unpacked.frames {
            self.enter(seq, frame, &sealed);
        }
    }

    fn enter(&mut self, seq: u64, frame: Bytes, sealed: &Sealed) {
        if self.index.enter(seq, sealed, frame) {
            return;
        }
        let job = sealed.record.job();
        self.conflicting.insert(job);
        self.events.push(RecoveryEvent::ConflictingRecords { job });
    }

    /// Returns the last position that a lost record can have.
    fn lost_bound(&mut self, head: &Head) -> Option<StageId> {
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

    fn jobs(&mut self, bound: Option<StageId>) -> Vec<RecoveredJob> {
        let mut jobs = Vec::new();
        for (&job, trace) in self.index.traces().filter(|(_, trace)| !trace.purged) {
            match read_job(job, trace) {
                Ok(mut read) => {
                    let lost = bound.is_some_and(|bound| last_serial(trace) <= bound);
                    read.unresolved = lost || self.conflicting.contains(&job);
                    jobs.push(read);
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

fn read_job(job: JobId, trace: &Trace) -> Result<RecoveredJob, JobState> {
    let sealed = |copy: &super::trace::Copy| Sealed::decode(&copy.frame);
    let change = trace.change.as_ref().and_then(sealed).map(|sealed| sealed.record);
    let durable = match change {
        Some(Record::Changed { durable, .. }) => Some(durable),
        _ => None,
    };
    let spec = trace.spec.as_ref().and_then(sealed);
    let Some(Sealed { serial, record: Record::Accepted { spec, at, .. } }) = spec else {
        return Err(durable.map_or(JobState::Unknown, |durable| durable.state));
    };
    let durable = durable.unwrap_or_else(|| queued(at));
    Ok(RecoveredJob { job, spec, accepted: serial, durable, unresolved: false })
}

fn queued(at: SystemTime) -> DurableState {
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
