//! The index of the log: which records are current, and which segment holds each of
//! them.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use bytes::Bytes;
use vg_base::prelude::*;

use super::job_records::{JobRecords, RecordCopy};
use super::record::LogEntry;
use super::{Record, StageId};

/// Bytes of current records that a segment is meant to hold on average. Beyond
/// [`Limits::base_segments`](crate::Limits::base_segments) the log may have twice as
/// many segments as that takes.
const SEGMENT_TARGET_BYTES: usize = 64 * 1024;

/// Largest number of bytes that one batch copies out of old segments.
const COPY_MAX_BYTES: usize = 96 * 1024;

/// Largest number of segments that one batch deletes.
const VICTIMS_MAX: usize = 16;

/// A segment of the log.
#[derive(Debug, Default)]
struct Segment {
    /// Jobs of which the segment holds a record, current or superseded.
    jobs: HashSet<JobId>,
    /// Bytes of current records in the segment.
    live: usize,
}

/// Old segments to delete, and the current records that are copied out of them in
/// the same batch.
#[derive(Debug, Clone, Default)]
pub(crate) struct Compaction {
    pub(crate) victims: Vec<u64>,
    pub(crate) copies: Vec<RecordCopy>,
}

/// The index of the log.
#[derive(Debug, Default)]
pub(crate) struct Index {
    records: HashMap<JobId, JobRecords>,
    segments: BTreeMap<u64, Segment>,
    /// Damaged segments.
    unreadable: BTreeSet<u64>,
    /// Bytes of current records in all segments that are not damaged.
    live: usize,
}

impl Index {
    /// Returns the number of segments in the log, including unreadable ones.
    pub(crate) fn segments(&self) -> usize {
        self.segments.len() + self.unreadable.len()
    }

    /// Returns the number of bytes of current records in undamaged segments.
    pub(crate) fn live_bytes(&self) -> usize {
        self.live
    }

    /// Returns the records of all jobs.
    pub(crate) fn records(&self) -> impl Iterator<Item = (&JobId, &JobRecords)> {
        self.records.iter()
    }

    /// Adds a segment without records.
    pub(crate) fn add_segment(&mut self, segment: u64) {
        self.segments.entry(segment).or_default();
    }

    /// Marks a segment as damaged. It is never compacted or deleted.
    pub(crate) fn mark_unreadable(&mut self, segment: u64) {
        self.segments.remove(&segment);
        self.unreadable.insert(segment);
    }

    /// Adds a record that `segment` holds. Returns `false` if another record with
    /// the same position has different content.
    pub(crate) fn insert(&mut self, segment: u64, entry: &LogEntry, frame: Bytes) -> bool {
        let job = entry.record.job();
        let copy = RecordCopy { frame, serial: entry.serial, segment };
        let mut agrees = true;
        self.update_records(job, |records| {
            records.add_segment(segment);
            let spec = matches!(entry.record, Record::Accepted { .. });
            let slot = if spec { &mut records.spec } else { &mut records.change };
            agrees = keep_latest(slot, copy);
            records.purged |= matches!(entry.record, Record::Purged { .. });
        });
        if let Some(segment) = self.segments.get_mut(&segment) {
            segment.jobs.insert(job);
        }
        agrees
    }

    /// Chooses segments to compact if the log has more than it should have: `free`
    /// segments plus an allowance for the current records.
    pub(crate) fn plan_compaction(&self, free: usize) -> Compaction {
        let allowed = free + 2 * self.live / SEGMENT_TARGET_BYTES;
        if self.segments.len() <= allowed {
            return Compaction::default();
        }
        let victims = self.victims();
        let mut jobs: Vec<JobId> = Vec::new();
        for victim in &victims {
            jobs.extend(self.segments.get(victim).into_iter().flat_map(|each| &each.jobs));
        }
        jobs.sort_unstable();
        jobs.dedup();
        let unreadable = !self.unreadable.is_empty();
        let records = jobs.iter().filter_map(|job| self.records.get(job));
        let copies =
            records.flat_map(|records| records.records_to_copy(&victims, unreadable)).collect();
        Compaction { victims, copies }
    }

    /// Returns the segments that are cheapest to compact, which are those with the
    /// fewest bytes of current records, within the limits of one batch.
    fn victims(&self) -> Vec<u64> {
        let mut by_cost: Vec<(usize, u64)> =
            self.segments.iter().map(|(&seq, segment)| (segment.live, seq)).collect();
        by_cost.sort_unstable();
        let mut copied = 0;
        let affordable = |&(live, _): &(usize, u64)| {
            copied += live;
            copied <= COPY_MAX_BYTES
        };
        by_cost.into_iter().take(VICTIMS_MAX).take_while(affordable).map(|(_, seq)| seq).collect()
    }

    /// Updates the index after a compaction took effect whose copies are in
    /// `segment`.
    pub(crate) fn apply_compaction(&mut self, segment: u64, compaction: &Compaction) {
        for copy in &compaction.copies {
            let Some(entry) = LogEntry::decode(&copy.frame) else { continue };
            self.move_record(segment, &entry);
        }
        for &victim in &compaction.victims {
            self.delete(victim);
        }
    }

    /// Records that the current copy of a record is now in `segment`.
    fn move_record(&mut self, segment: u64, entry: &LogEntry) {
        let job = entry.record.job();
        let serial = entry.serial;
        self.update_records(job, |records| {
            records.add_segment(segment);
            let slots = [&mut records.spec, &mut records.change].into_iter().flatten();
            slots.filter(|copy| copy.serial == serial).for_each(|copy| copy.segment = segment);
        });
        if let Some(segment) = self.segments.get_mut(&segment) {
            segment.jobs.insert(job);
        }
    }

    /// Removes a deleted segment from the index. Jobs that are purged and have no
    /// records left are dropped.
    fn delete(&mut self, victim: u64) {
        let Some(segment) = self.segments.remove(&victim) else { return };
        self.live -= segment.live;
        for job in segment.jobs {
            self.update_records(job, |records| records.segments.retain(|&each| each != victim));
            let purged = |records: &JobRecords| records.purged && records.segments.is_empty();
            if self.records.get(&job).is_some_and(purged) {
                self.records.remove(&job);
            }
        }
    }

    /// Changes the records of a job and updates the sums of live bytes.
    fn update_records(&mut self, job: JobId, change: impl FnOnce(&mut JobRecords)) {
        let records = self.records.entry(job).or_default();
        for &at in &records.segments {
            let bytes = records.live_bytes(at);
            let segment = self.segments.get_mut(&at);
            let Some(segment) = segment else { continue };
            segment.live -= bytes;
            self.live -= bytes;
        }
        change(records);
        for &at in &records.segments {
            let bytes = records.live_bytes(at);
            let Some(segment) = self.segments.get_mut(&at) else { continue };
            segment.live += bytes;
            self.live += bytes;
        }
    }
}

/// Keeps the later record in the slot. Returns `false` if two records with the same
/// position differ.
fn keep_latest(slot: &mut Option<RecordCopy>, copy: RecordCopy) -> bool {
    let agrees = match slot {
        Some(held) => held.serial != copy.serial || held.frame == copy.frame,
        None => true,
    };
    let newer = slot.as_ref().is_none_or(|held| copy.serial >= held.serial);
    if newer {
        *slot = Some(copy);
    }
    agrees
}

/// Returns the position of the latest record of a job.
pub(crate) fn last_serial(records: &JobRecords) -> StageId {
    let slots = [&records.spec, &records.change].into_iter().flatten();
    slots.map(|copy| copy.serial).max().unwrap_or_default()
}
