//! The index of the log: which records are current, and where.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use bytes::Bytes;
use vg_base::prelude::*;

use super::record::Sealed;
use super::trace::{Copy, Trace};
use super::{Record, StageId};

/// Bytes of current records that one segment is meant to hold on average.
const SEGMENT_GOAL_BYTES: usize = 64 * 1024;

/// Most bytes that one batch copies out of old segments.
const COPY_MAX_BYTES: usize = 96 * 1024;

/// Most segments that one batch deletes.
const VICTIMS_MAX: usize = 16;

/// A segment of the log.
#[derive(Debug, Default)]
struct Segment {
    jobs: HashSet<JobId>,
    live: usize,
}

/// Old segments to delete and the records to copy out of them first.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cleaning {
    pub(crate) victims: Vec<u64>,
    pub(crate) copies: Vec<Copy>,
}

/// The index of the log.
#[derive(Debug, Default)]
pub(crate) struct Index {
    traces: HashMap<JobId, Trace>,
    segments: BTreeMap<u64, Segment>,
    unread: BTreeSet<u64>,
    live: usize,
}

impl Index {
    /// Returns how many segments the log has, unreadable ones included.
    pub(crate) fn segments(&self) -> usize {
        self.segments.len() + self.unread.len()
    }

    /// Returns the bytes of all current records.
    pub(crate) fn live_bytes(&self) -> usize {
        self.live
    }

    /// Returns the traces of all jobs.
    pub(crate) fn traces(&self) -> impl Iterator<Item = (&JobId, &Trace)> {
        self.traces.iter()
    }

    /// Adds a segment without records.
    pub(crate) fn open(&mut self, segment: u64) {
        self.segments.entry(segment).or_default();
    }

    /// Marks a segment as damaged: it is never cleaned or deleted.
    pub(crate) fn mark_unread(&mut self, segment: u64) {
        self.segments.remove(&segment);
        self.unread.insert(segment);
    }

    /// Takes in a record that `segment` holds. Gives `false` when another
    /// record with the same position says something else.
    pub(crate) fn enter(&mut self, segment: u64, sealed: &Sealed, frame: Bytes) -> bool {
        let job = sealed.record.job();
        let copy = Copy { frame, serial: sealed.serial, segment };
        let mut agrees = true;
        self.edit(job, |trace| {
            trace.enter(segment);
            let spec = matches!(sealed.record, Record::Accepted { .. });
            let slot = if spec { &mut trace.spec } else { &mut trace.change };
            agrees = admit(slot, copy);
            trace.purged |= matches!(sealed.record, Record::Purged { .. });
        });
        if let Some(segment) = self.segments.get_mut(&segment) {
            segment.jobs.insert(job);
        }
        agrees
    }

    /// Chooses segments to clean when there are more than the log should have.
    pub(crate) fn cleaning(&self, free: usize) -> Cleaning {
        let allowed = free + 2 * self.live / SEGMENT_GOAL_BYTES;
        if self.segments.len() <= allowed {
            return Cleaning::default();
        }
        let victims = self.victims();
        let mut jobs: Vec<JobId> = Vec::new();
        for victim in &victims {
            jobs.extend(self.segments.get(victim).into_iter().flat_map(|each| &each.jobs));
        }
        jobs.sort_unstable();
        jobs.dedup();
        let unread = !self.unread.is_empty();
        let traces = jobs.iter().filter_map(|job| self.traces.get(job));
        let copies = traces.flat_map(|trace| trace.survivors(&victims, unread)).collect();
        Cleaning { victims, copies }
    }

    /// Returns the segments that are the cheapest to clean.
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

    /// Notes that a cleaning took effect, with its copies in `segment`.
    pub(crate) fn cleaned(&mut self, segment: u64, cleaning: &Cleaning) {
        for copy in &cleaning.copies {
            let Some(sealed) = Sealed::decode(&copy.frame) else { continue };
            self.move_copy(segment, &sealed);
        }
        for &victim in &cleaning.victims {
            self.delete(victim);
        }
    }

    fn move_copy(&mut self, segment: u64, sealed: &Sealed) {
        let job = sealed.record.job();
        let serial = sealed.serial;
        self.edit(job, |trace| {
            trace.enter(segment);
            let slots = [&mut trace.spec, &mut trace.change].into_iter().flatten();
            slots.filter(|copy| copy.serial == serial).for_each(|copy| copy.segment = segment);
        });
        if let Some(segment) = self.segments.get_mut(&segment) {
            segment.jobs.insert(job);
        }
    }

    fn delete(&mut self, victim: u64) {
        let Some(segment) = self.segments.remove(&victim) else { return };
        self.live -= segment.live;
        for job in segment.jobs {
            self.edit(job, |trace| trace.segments.retain(|&each| each != victim));
            let gone = |trace: &Trace| trace.purged && trace.segments.is_empty();
            if self.traces.get(&job).is_some_and(gone) {
                self.traces.remove(&job);
            }
        }
    }

    /// Changes a trace and keeps the sums of live bytes right.
    fn edit(&mut self, job: JobId, change: impl FnOnce(&mut Trace)) {
        let trace = self.traces.entry(job).or_default();
        for &at in &trace.segments {
            let bytes = trace.live_bytes(at);
            let segment = self.segments.get_mut(&at);
            let Some(segment) = segment else { continue };
            segment.live -= bytes;
            self.live -= bytes;
        }
        change(trace);
        for &at in &trace.segments {
            let bytes = trace.live_bytes(at);
            let Some(segment) = self.segments.get_mut(&at) else { continue };
            segment.live += bytes;
            self.live += bytes;
        }
    }
}

/// Puts the later record into the slot. Gives `false` when two records of the
/// same position differ.
fn admit(slot: &mut Option<Copy>, copy: Copy) -> bool {
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

/// Returns the last change among the records of a job.
pub(crate) fn last_serial(trace: &Trace) -> StageId {
    let slots = [&trace.spec, &trace.change].into_iter().flatten();
    slots.map(|copy| copy.serial).max().unwrap_or_default()
}
