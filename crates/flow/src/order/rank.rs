//! Order in which waiting jobs are served.
//!
//! Load that this module handles: a queue requests several times the capacity
//! of its pool, so that some jobs miss their objective in any case. Serving in
//! order of arrival, or by earliest deadline, then makes nearly all of them
//! late. Jobs that can still be on time go first, and among those the ones with
//! the highest value for the work that they still need: small ones, and ones
//! that are nearly done.

use std::cmp::Ordering;

use vg_base::prelude::*;

/// A late job still has value up to this multiple of its objective.
pub(crate) const LATE_FACTOR: f64 = 3.0;
/// Part of a job's value that does not depend on its size.
const BASE_VALUE: f64 = 0.3;

/// Input of the rank of a job.
#[derive(Debug, Clone, Copy)]
pub struct RankInput {
    /// Whether it has tasks that run until it is cancelled.
    pub continuous: bool,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Time since it was accepted, or since it was due.
    pub age: Duration,
    /// Estimated duration of its longest chain of steps.
    pub critical_path: Duration,
    /// Estimated duration of the part of that chain that is left.
    pub remaining_path: Duration,
    /// Objective as a multiple of the critical path.
    pub stretch: f64,
    /// Constant that is added to the objective.
    pub slack: Duration,
    /// Total estimated work in millicores times seconds.
    pub work: f64,
    /// Estimated work of tasks that have not started, in the same unit.
    pub remaining_work: f64,
    /// Mean estimated work of the jobs of its queue, in the same unit.
    pub mean_work: f64,
}

impl RankInput {
    /// Returns the time from acceptance within which the job has its full value.
    pub(crate) fn objective(&self) -> Duration {
        objective(self.critical_path, self.stretch, self.slack)
    }
}

/// Returns the time from acceptance within which a job has its full value.
pub(crate) fn objective(critical_path: Duration, stretch: f64, slack: Duration) -> Duration {
    critical_path.mul_f64(stretch) + slack
}

/// Whether a job can end in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It has tasks that have to run at all times.
    Continuous,
    /// It can end within its objective.
    OnTime,
    /// It ends late, but still has value.
    Late,
    /// It ends too late to have value.
    TooLate,
}

/// Position of a job in its pool's order; the lowest comes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rank {
    /// Whether it can end in time.
    pub timeliness: Timeliness,
    /// Priority of its queue.
    pub priority: u32,
    /// Value per remaining work; higher values come first.
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
    let objective = job.objective();
    let ends = job.age + job.remaining_path;
    if ends <= objective {
        Timeliness::OnTime
    } else if ends <= objective.mul_f64(LATE_FACTOR) {
        Timeliness::Late
    } else {
        Timeliness::TooLate
    }
}

/// Returns a job's value per remaining work; both are relative to the mean work
/// of its queue. The lower bounds prevent a division by zero.
fn density(job: &RankInput) -> f64 {
    let mean = job.mean_work.max(1.0);
    let value = BASE_VALUE + (1.0 - BASE_VALUE) * job.work / mean;
    value / (job.remaining_work / mean).max(0.01)
}
