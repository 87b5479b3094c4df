//! Where in the log a job's records stand.

use bytes::Bytes;

use super::StageId;

/// A record's frame and the segment that holds its current copy.
#[derive(Debug, Clone)]
pub(crate) struct Copy {
    pub(crate) frame: Bytes,
    pub(crate) serial: StageId,
    pub(crate) segment: u64,
}

/// The records of one job.
#[derive(Debug, Clone, Default)]
pub(crate) struct Trace {
    /// The specification.
    pub(crate) spec: Option<Copy>,
    /// The latest change, or the tombstone of a purged job.
    pub(crate) change: Option<Copy>,
    /// Whether the job is purged.
    pub(crate) purged: bool,
    /// Segments that hold any record of the job, current or superseded.
    pub(crate) segments: Vec<u64>,
}

impl Trace {
    /// Returns the bytes of current records in `segment`.
    pub(crate) fn live_bytes(&self, segment: u64) -> usize {
        let at = |copy: &&Copy| copy.segment == segment;
        let spec = self.spec.as_ref().filter(at).filter(|_| !self.purged);
        let change = self.change.as_ref().filter(at);
        let bytes = |copy: Option<&Copy>| copy.map_or(0, |each| each.frame.len());
        bytes(spec) + bytes(change)
    }

    /// Notes that `segment` holds a record.
    pub(crate) fn enter(&mut self, segment: u64) {
        if !self.segments.contains(&segment) {
            self.segments.push(segment);
        }
    }

    /// Returns the frames to copy when all of `victims` are deleted.
    ///
    /// A tombstone is copied as long as another segment, or one that can't be
    /// read (`unread`), may hold a record of the job: without the tombstone
    /// that record would bring the job back.
    pub(crate) fn survivors(&self, victims: &[u64], unread: bool) -> Vec<Copy> {
        let doomed = |copy: &&Copy| victims.contains(&copy.segment);
        let needed = unread || self.segments.iter().any(|each| !victims.contains(each));
        let spec = self.spec.as_ref().filter(doomed).filter(|_| !self.purged);
        let change = self.change.as_ref().filter(doomed).filter(|_| !self.purged || needed);
        spec.into_iter().chain(change).cloned().collect()
    }
}
