//! Lanes: the waiting jobs of one team on one queue, in the order in which they
//! start.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

use vg_base::prelude::*;

use crate::job::{Job, JobKey};
use crate::{Class, StageId};

/// The class, queue and team that the jobs of one lane have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lane {
    /// Urgent or background.
    pub class: Class,
    /// The queue.
    pub queue: QueueId,
    /// The team.
    pub team: TeamId,
}

/// A lane as a [`LanePolicy`](crate::LanePolicy) sees it during a placement round.
#[derive(Debug, Clone)]
pub struct LaneView {
    /// The lane.
    pub lane: Lane,
    /// Wall time by which the next job should start.
    pub start_by: Option<SystemTime>,
    /// Weight of the team, as returned by the policy.
    pub weight: f64,
    /// Fraction of the pool that the team's live jobs hold, measured by their
    /// dominant resource.
    pub used: f64,
}

impl LaneView {
    /// Returns the fraction of the pool that the team holds, divided by its weight.
    pub fn weighted_usage(&self) -> f64 {
        self.used / self.weight
    }
}

/// Position of a job in its lane: ordered by deadline, then by acceptance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LanePosition {
    pub(crate) start_by: Option<SystemTime>,
    pub(crate) accepted: StageId,
}

impl Ord for LanePosition {
    fn cmp(&self, other: &LanePosition) -> Ordering {
        // A job without a deadline comes after all jobs that have one.
        let key = |position: &LanePosition| {
            (position.start_by.is_none(), position.start_by, position.accepted)
        };
        key(self).cmp(&key(other))
    }
}

impl PartialOrd for LanePosition {
    fn partial_cmp(&self, other: &LanePosition) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// All waiting jobs, by lane.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    lanes: HashMap<Lane, BTreeMap<LanePosition, JobKey>>,
    waiting: usize,
}

impl Lanes {
    pub(crate) fn insert(&mut self, key: JobKey, job: &Job) {
        let lane = self.lanes.entry(job.lane()).or_default();
        if lane.insert(job.position(), key).is_none() {
            self.waiting += 1;
        }
    }

    pub(crate) fn remove(&mut self, job: &Job) {
        let lane = job.lane();
        let Some(jobs) = self.lanes.get_mut(&lane) else { return };
        if jobs.remove(&job.position()).is_some() {
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
        let head = |(lane, jobs): (&Lane, &BTreeMap<LanePosition, JobKey>)| {
            let first = jobs.values().next().copied()?;
            Some((lane.clone(), first))
        };
        let mut heads: Vec<(Lane, JobKey)> = self.lanes.iter().filter_map(head).collect();
        heads.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        heads
    }

    /// Returns at most `limit` jobs of a lane that come after `position`.
    pub(crate) fn next_after(
        &self,
        lane: &Lane,
        position: LanePosition,
        limit: usize,
    ) -> Vec<JobKey> {
        let behind = (Bound::Excluded(position), Bound::Unbounded);
        let jobs = self.lanes.get(lane).map(|jobs| jobs.range(behind).take(limit));
        jobs.into_iter().flatten().map(|(_, &key)| key).collect()
    }

    /// Returns all waiting jobs.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = JobKey> + '_ {
        self.lanes.values().flat_map(|lane| lane.values().copied())
    }
}
