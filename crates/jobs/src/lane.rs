//! Lanes: the waiting jobs of one team on one queue, in the order to start.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use vg_base::prelude::*;

use crate::job::{Job, JobKey};
use crate::{Class, StageId};

/// The team, queue and class that jobs wait under.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// Urgent or background.
    pub class: Class,
    /// The queue.
    pub queue: QueueId,
    /// The team.
    pub team: TeamId,
}

/// A lane as a [`LanePolicy`](crate::LanePolicy) sees it during a round.
#[derive(Debug, Clone)]
pub struct LaneView {
    /// The lane.
    pub lane: Lane,
    /// Wall time by which the next job should start.
    pub start_by: Option<SystemTime>,
    /// The team's weight, as the order gave it.
    pub weight: f64,
    /// What part of the pool the team's live jobs hold, by their dominant
    /// resource.
    pub used: f64,
}

impl LaneView {
    /// Returns how much the team holds for its weight.
    pub fn weighted_usage(&self) -> f64 {
        self.used / self.weight
    }
}

/// Place of a job in its lane: by deadline, then by acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) start_by: Option<SystemTime>,
    pub(crate) accepted: StageId,
}

impl Ord for Place {
    fn cmp(&self, other: &Place) -> Ordering {
        // A job without a deadline stands behind all that have one.
        let key = |place: &Place| (place.start_by.is_none(), place.start_by, place.accepted);
        key(self).cmp(&key(other))
    }
}

impl PartialOrd for Place {
    fn partial_cmp(&self, other: &Place) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// All waiting jobs.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    lanes: HashMap<Lane, BTreeMap<Place, JobKey>>,
    waiting: usize,
}

impl Lanes {
    pub(crate) fn insert(&mut self, key: JobKey, job: &Job) {
        let lane = self.lanes.entry(job.lane()).or_default();
        if lane.insert(job.place(), key).is_none() {
            self.waiting += 1;
        }
    }

    pub(crate) fn remove(&mut self, job: &Job) {
        let lane = job.lane();
        let Some(jobs) = self.lanes.get_mut(&lane) else { return };
        if jobs.remove(&job.place()).is_some() {
            self.waiting -= 1;
        }
        if jobs.is_empty() {
            self.lanes.remove(&lane);
        }
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns each lane with its first job, in a stable order.
    pub(crate) fn heads(&self) -> Vec<(Lane, JobKey)> {
        let head = |(lane, jobs): (&Lane, &BTreeMap<Place, JobKey>)| {
            let first = jobs.values().next().copied()?;
            Some((lane.clone(), first))
        };
        let mut heads: Vec<(Lane, JobKey)> = self.lanes.iter().filter_map(head).collect();
        heads.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        heads
    }

    /// Returns the next jobs of a lane behind a place, at most `most`.
    pub(crate) fn after(&self, lane: &Lane, place: Place, most: usize) -> Vec<JobKey> {
        let behind = (Bound::Excluded(place), Bound::Unbounded);
        let jobs = self.lanes.get(lane).map(|jobs| jobs.range(behind).take(most));
        jobs.into_iter().flatten().map(|(_, &key)| key).collect()
    }

    /// Returns all waiting jobs.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.lanes.values().flat_map(|lane| lane.values().copied())
    }
}
