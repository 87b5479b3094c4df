//! Size classes of jobs.
//!
//! Load that this module handles: a pool is full, and small jobs bring more value per
//! work than large ones. Ranked by that alone, the largest jobs are served last at each
//! peak and never in time.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// Number of recent jobs of a queue against which sizes are compared.
const RECENT_JOBS: usize = 200;
/// Number of recent jobs below which all count as small.
const MIN_JOBS: usize = 10;
/// Number of new jobs after which the percentiles are computed again.
const UPDATE_JOBS: usize = 10;
const MEDIUM_PERCENTILE: usize = 70;
const LARGE_PERCENTILE: usize = 90;

/// Size class of a job: its work against the recent jobs of its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SizeClass {
    /// Below the 70th percentile.
    Small,
    /// From the 70th to the 90th percentile.
    Medium,
    /// Above the 90th percentile.
    Large,
}

impl SizeClass {
    /// All classes, the smallest first.
    pub const ALL: [SizeClass; 3] = [SizeClass::Small, SizeClass::Medium, SizeClass::Large];
}

/// Work in machine-seconds by size class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkBySize([f64; SizeClass::ALL.len()]);

impl WorkBySize {
    /// Returns the work of a class.
    pub fn of(&self, class: SizeClass) -> f64 {
        self.0[class as usize]
    }

    /// Adds work to a class.
    pub fn add(&mut self, class: SizeClass, work: f64) {
        self.0[class as usize] += work;
    }

    /// Multiplies the work of all classes.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.0.iter_mut().for_each(|work| *work *= factor);
    }

    /// Returns the work of all classes.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }
}

/// Work of the recent jobs of each queue.
#[derive(Debug, Default)]
pub(crate) struct JobSizes(HashMap<QueueId, RecentSizes>);

#[derive(Debug, Default)]
struct RecentSizes {
    works: VecDeque<f64>,
    /// Jobs since the bounds were computed.
    added: usize,
    /// Largest work of a small and of a medium job, if there are enough jobs.
    bounds: Option<[f64; 2]>,
}

impl JobSizes {
    /// Adds a job that has arrived.
    pub(crate) fn add(&mut self, queue: &QueueId, work: f64) {
        if !self.0.contains_key(queue) {
            self.0.insert(queue.clone(), RecentSizes::default());
        }
        if let Some(recent) = self.0.get_mut(queue) {
            recent.add(work);
        }
    }

    /// Returns the size class of a job by its work.
    pub(crate) fn class(&self, queue: &QueueId, work: f64) -> SizeClass {
        match self.0.get(queue).and_then(|recent| recent.bounds) {
            Some([_, medium]) if work > medium => SizeClass::Large,
            Some([small, _]) if work > small => SizeClass::Medium,
            _ => SizeClass::Small,
        }
    }
}

impl RecentSizes {
    fn add(&mut self, work: f64) {
        self.works.push_back(work);
        if self.works.len() > RECENT_JOBS {
            self.works.pop_front();
        }
        self.added += 1;
        if self.added >= UPDATE_JOBS {
            self.added = 0;
            self.update_bounds();
        }
    }

    fn update_bounds(&mut self) {
        if self.works.len() < MIN_JOBS {
            return;
        }
        let mut sorted: Vec<_> = self.works.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let at = |percent: usize| sorted[(sorted.len() * percent / 100).max(1) - 1];
        self.bounds = Some([at(MEDIUM_PERCENTILE), at(LARGE_PERCENTILE)]);
    }
}
