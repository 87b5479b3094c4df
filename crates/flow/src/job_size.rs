//! Size classes of jobs.
//!
//! Load that this module handles: a pool is full, and small jobs bring more value per
//! work than large ones. Ranked by that alone, the largest jobs are served last at each
//! peak and never in time.

use serde::{Deserialize, Serialize};

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

    /// Returns the work of all classes.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }
}
