//! Which waiting job is served first.
//!
//! Load it answers: a queue asks for several times what its pool holds, so that
//! some jobs will miss their objective whatever is done. Serving in the order
//! of arrival, or by the earliest deadline, then makes nearly all of them late.
//! Jobs that can still be on time go first, and among those the ones that yield
//! most for the work that they still need: small ones, and ones that are
//! nearly done.

use std::cmp::Ordering;

use vg_base::prelude::*;

/// Factor of the objective within which a late job still counts.
const LATE_FACTOR: f64 = 3.0;
/// Part of a job's value that doesn't depend on its size.
const BASE_VALUE: f64 = 0.3;

/// What a rank is computed from.
#[derive(Debug, Clone, Copy)]
pub struct RankInput {
    /// Whether it has tasks that run until it is cancelled.
    pub continuous: bool,
    /// Rank of its queue; 0 comes first.
    pub priority: u32,
    /// Time since it was accepted, or was due.
    pub age: Duration,
    /// Longest chain of its work.
    pub critical_path: Duration,
    /// The part of that chain that is left.
    pub remaining_path: Duration,
    /// Objective in chains.
    pub stretch: f64,
    /// Added to the objective.
    pub slack: Duration,
    /// Its whole work.
    pub work: f64,
    /// Its work that has not started.
    pub remaining_work: f64,
    /// Mean work of jobs of its queue.
    pub mean_work: f64,
}

/// Whether a job can end in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// Tasks that have to run at all times.
    Continuous,
    /// Within its objective.
    OnTime,
    /// Late, and still of use.
    Late,
    /// Too late.
    TooLate,
}

/// Position of a job in its pool's order; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rank {
    /// Whether it can end in time.
    pub timeliness: Timeliness,
    /// Rank of its queue.
    pub priority: u32,
    /// Value for the work that is left.
    pub density: f64,
}

impl Eq for Rank {}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Rank) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Rank) -> Ordering {
        let first = (self.timeliness, self.priority).cmp(&(other.timeliness, other.priority));
        first.then_with(|| other.density.total_cmp(&self.density))
    }
}

/// Returns the position of a job.
pub fn rank(job: &RankInput) -> Rank {
    Rank { timeliness: timeliness(job), priority: job.priority, density: density(job) }
}

fn timeliness(job: &RankInput) -> Timeliness {
    if job.continuous {
        return Timeliness::Continuous;
    }
    let objective = job.critical_path.mul_f64(job.stretch) + job.slack;
    let ends = job.age + job.remaining_path;
    if ends <= objective {
        Timeliness::OnTime
    } else if ends <= objective.mul_f64(LATE_FACTOR) {
        Timeliness::Late
    } else {
        Timeliness::TooLate
    }
}

fn density(job: &RankInput) -> f64 {
    let mean = job.mean_work.max(1.0);
    let value = BASE_VALUE + (1.0 - BASE_VALUE) * job.work / mean;
    value / (job.remaining_work / mean).max(0.01)
}
