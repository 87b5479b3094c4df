//! What is left of a job, by its estimates and the learned durations.

use vg_base::prelude::*;

use crate::durations::QueueDurations;
use crate::job::{Job, Step};

/// What is left of a job's first open occurrence.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Remaining {
    /// Duration of the longest chain of steps that are not done.
    pub(crate) path: Duration,
    /// Work of tasks that have not started, in millicores times seconds.
    pub(crate) work: f64,
}

/// Returns what is left of a job. `learned` are the sketches of its queue.
pub(crate) fn remaining(job: &Job, learned: Option<&QueueDurations>) -> Remaining {
    let steps = job.occurrences.first().map_or(&[][..], |occurrence| &occurrence.steps);
    let team = &job.spec.team;
    let Some(learned) = learned else {
        return sum(job, steps, &job.critical_paths, |_| 1.0);
    };
    let paths = job.spec.critical_paths_by(|at| learned.factor(at, team));
    let left = sum(job, steps, &paths, |at| learned.factor(at, team));
    Remaining { work: left.work / queue_factor(job, learned), ..left }
}

fn sum(job: &Job, steps: &[Step], paths: &[Duration], factor: impl Fn(usize) -> f64) -> Remaining {
    let mut left = Remaining::default();
    for (at, step) in steps.iter().enumerate() {
        if !step.is_done() {
            left.path = left.path.max(paths[at]);
        }
        left.work += step.waiting.len() as f64 * job.spec.steps[at].task_work() * factor(at);
    }
    left
}

/// Returns the factor by which the work of a job like this one is off on average in
/// its queue. A job's value and the mean work of its queue are by the estimates, and
/// remaining work is compared with that mean. So it is corrected by how much a step
/// or team differs from its queue: a queue whose estimates are all too low by the
/// same factor keeps its place among the queues of the pool.
fn queue_factor(job: &Job, learned: &QueueDurations) -> f64 {
    if job.work <= 0.0 {
        return 1.0;
    }
    let steps = job.spec.steps.iter().enumerate();
    let corrected = steps
        .map(|(at, step)| f64::from(step.count) * step.task_work() * learned.common_factor(at));
    corrected.sum::<f64>() / job.work
}
