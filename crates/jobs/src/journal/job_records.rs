//! The current records of a job and the segments that hold them.

use bytes::Bytes;

use super::StageId;

/// Frame of a record and the segment that holds its current copy.
#[derive(Debug, Clone)]
pub(crate) struct RecordCopy {
    pub(crate) frame: Bytes,
    pub(crate) serial: StageId,
    pub(crate) segment: u64,
}

/// The records of one job.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobRecords {
    /// The record with the specification.
    pub(crate) spec: Option<RecordCopy>,
    /// The latest change, or the tombstone of a purged job.
    pub(crate) change: Option<RecordCopy>,
    /// Whether the job is purged.
    pub(crate) purged: bool,
    /// Segments that hold any record of the job, current or superseded.
    pub(crate) segments: Vec<u64>,
}

impl JobRecords {
    /// Returns the number of bytes of the job's current records in `segment`.
    pub(crate) fn live_bytes(&self, segment: u64) -> usize {
        let at = |copy: &&RecordCopy| copy.segment == segment;
        let spec = self.spec.as_ref().filter(at).filter(|_| !self.purged);
        let change = self.change.as_ref().filter(at);
        let bytes = |copy: Option<&RecordCopy>| copy.map_or(0, |each| each.frame.len());
        bytes(spec) + bytes(change)
    }

    /// Records that `segment` holds a record of the job.
    pub(crate) fn add_segment(&mut self, segment: u64) {
        if !self.segments.contains(&segment) {
            self.segments.push(segment);
        }
    }

    /// Returns the records to copy when all segments in `victims` are deleted.
    ///
    /// A tombstone is copied as long as another segment, or one that can't be read
    /// (`unreadable`), may hold a record of the job. Without the tombstone, that
    /// record would bring the job back.
    pub(crate) fn records_to_copy(&self, victims: &[u64], unreadable: bool) -> Vec<RecordCopy> {
        let is_victim = |copy: &&RecordCopy| victims.contains(&copy.segment);
        let needed = unreadable || self.segments.iter().any(|each| !victims.contains(each));
        let spec = self.spec.as_ref().filter(is_victim).filter(|_| !self.purged);
        let change = self.change.as_ref().filter(is_victim).filter(|_| !self.purged || needed);
        spec.into_iter().chain(change).cloned().collect()
    }
}
