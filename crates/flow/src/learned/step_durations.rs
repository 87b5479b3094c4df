//! Durations of the tasks of a step, with which an attempt is compared.

use slotmap::{SecondaryMap, SlotMap};
use vg_base::prelude::*;

use crate::jobs::attempt::Attempt;
use crate::jobs::job::{Job, JobKey};
use crate::workers::worker::WorkerKey;

/// Minimum number of tasks on other workers that an attempt is compared with.
const MIN_COMPARED_TASKS: usize = 2;

/// Known durations of the tasks of a step, actual or projected.
#[derive(Debug)]
pub(crate) struct StepDurations {
    /// All of them in ascending order.
    sorted: Vec<Duration>,
    /// By worker, those of a worker in ascending order.
    by_worker: Vec<(WorkerKey, Duration)>,
}

impl StepDurations {
    pub(crate) fn new(known: impl Iterator<Item = (WorkerKey, Duration)>) -> StepDurations {
        let mut by_worker: Vec<_> = known.collect();
        by_worker.sort_unstable();
        let mut sorted: Vec<_> = by_worker.iter().map(|&(_, duration)| duration).collect();
        sorted.sort_unstable();
        StepDurations { sorted, by_worker }
    }

    /// Returns the median duration of the tasks on workers other than `worker`; `None`
    /// if there are too few.
    pub(crate) fn median_elsewhere(&self, worker: WorkerKey) -> Option<Duration> {
        let own = self.of_worker(worker);
        let others = self.sorted.len() - own.len();
        if others < MIN_COMPARED_TASKS {
            return None;
        }
        // Each own duration up to the median moves it one place on.
        let mut at = others / 2;
        for &(_, duration) in own {
            if duration > self.sorted[at] {
                break;
            }
            at += 1;
        }
        Some(self.sorted[at])
    }

    fn of_worker(&self, worker: WorkerKey) -> &[(WorkerKey, Duration)] {
        let from = self.by_worker.partition_point(|&(each, _)| each < worker);
        let own = &self.by_worker[from..];
        &own[..own.partition_point(|&(each, _)| each == worker)]
    }
}

/// Shortest known duration of the tasks of each step, over all occurrences. It is kept
/// in one list: with 30,000 attempts, most of the time of a pass is that of memory
/// accesses.
#[derive(Debug)]
pub(crate) struct ShortestDurations {
    /// Where the steps of a job begin in the list.
    offsets: SecondaryMap<JobKey, usize>,
    durations: Vec<Option<Duration>>,
}

impl ShortestDurations {
    /// Returns the durations of completed tasks of the jobs that have attempts.
    pub(crate) fn new(jobs: &SlotMap<JobKey, Job>) -> ShortestDurations {
        let mut offsets = SecondaryMap::with_capacity(jobs.capacity());
        let mut durations = Vec::new();
        for (key, job) in jobs.iter().filter(|(_, job)| job.attempt_count > 0) {
            offsets.insert(key, durations.len());
            durations.extend_from_slice(&job.shortest_runs);
        }
        ShortestDurations { offsets, durations }
    }

    /// Adds the projected duration of an attempt.
    pub(crate) fn add(&mut self, attempt: &Attempt, projected: Duration) {
        let at = self.position(attempt);
        let Some(shortest) = at.and_then(|at| self.durations.get_mut(at)) else { return };
        *shortest = Some(shortest.map_or(projected, |shortest| shortest.min(projected)));
    }

    /// Returns the shortest duration of an attempt's step; `None` if none is known.
    pub(crate) fn of(&self, attempt: &Attempt) -> Option<Duration> {
        *self.durations.get(self.position(attempt)?)?
    }

    fn position(&self, attempt: &Attempt) -> Option<usize> {
        Some(self.offsets.get(attempt.job?)? + usize::from(attempt.task.step.step))
    }
}
