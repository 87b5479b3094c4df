//! What is left of a job, by its estimates and the learned durations.

use vg_base::prelude::*;

use crate::jobs::job::Job;
use crate::learned::durations::QueueDurations;

/// What is left of a job's first open occurrence.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Remaining {
    /// Duration of the longest chain of steps that are not done.
    pub(crate) path: Duration,
    /// Work of tasks that have not started, in millicores times seconds.
    pub(crate) work: f64,
}

/// Estimates of a job's steps that are corrected by what was learned.
#[derive(Debug, Clone)]
pub(crate) struct Corrected {
    /// Version of what was learned.
    version: u64,
    /// Time from each step's start to the job's end.
    paths: Vec<Duration>,
    /// Work of a task of each step, in millicores times seconds.
    task_work: Vec<f64>,
}

impl Job {
    /// Corrects the estimates if what was learned of its queue has changed.
    pub(crate) fn correct(&mut self, learned: Option<&QueueDurations>) {
        let Some(learned) = learned else {
            self.corrected = None;
            return;
        };
        let version = learned.version(&self.spec.team);
        if self.corrected.as_ref().is_none_or(|corrected| corrected.version != version) {
            self.corrected = Some(corrected(self, learned, version));
        }
    }

    /// Returns what is left of the first open occurrence, by the estimates as they were
    /// last corrected.
    pub(crate) fn remaining(&self) -> Remaining {
        let steps = self.occurrences.first().map_or(&[][..], |occurrence| &occurrence.steps);
        let paths = self.corrected.as_ref().map_or(&self.critical_paths, |each| &each.paths);
        let mut left = Remaining::default();
        for (at, step) in steps.iter().enumerate() {
            if !step.is_done() {
                left.path = left.path.max(paths[at]);
            }
            let task_work = match &self.corrected {
                Some(corrected) => corrected.task_work[at],
                None => self.spec.steps[at].task_work(),
            };
            left.work += step.waiting.len() as f64 * task_work;
        }
        left
    }
}

fn corrected(job: &Job, learned: &QueueDurations, version: u64) -> Corrected {
    let spec = &job.spec;
    let factors: Vec<_> = (0..spec.steps.len()).map(|at| learned.factor(at, &spec.team)).collect();
    let queue_factor = queue_factor(job, learned);
    let steps = spec.steps.iter().zip(&factors);
    Corrected {
        version,
        paths: spec.critical_paths_by(|at| factors[at]),
        task_work: steps.map(|(step, factor)| step.task_work() * factor / queue_factor).collect(),
    }
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
