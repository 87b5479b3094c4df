//! Takes load off workers whose tasks use more than planned.

use super::Shard;
use crate::job::JobKey;
use crate::worker::Worker;
use crate::workers::WorkerKey;
use crate::{Action, Class, Cores, JobState, Now, Resources};

/// Fraction of a worker's memory at which a background task is moved off the worker.
/// Above this fraction the host starts to kill tasks.
const MEMORY_HIGH_FRACTION: f64 = 0.92;

/// Fraction of a worker's cores at which its background tasks are throttled.
const CORES_HIGH_FRACTION: f64 = 0.97;

/// Fraction of a worker's cores below which the throttles of its tasks are removed.
const CORES_LOW_FRACTION: f64 = 0.75;

impl Shard {
    /// Throttles, checkpoints or stops background tasks on overloaded workers, and
    /// removes throttles once the load is low. Each new measurement leads to at most
    /// one of these steps on a worker.
    pub(super) fn relieve_workers(&mut self, now: Now) {
        let fresh = self.workers.iter().filter(|(_, worker)| self.has_new_usage(worker, now));
        let workers: Vec<(WorkerKey, Resources, Resources)> = fresh
            .filter_map(|(key, worker)| Some((key, worker.usage.as_ref()?.total, worker.capacity)))
            .collect();
        for (key, used, total) in workers {
            let memory = used.memory.0 as f64 / total.memory.0.max(1) as f64;
            let cores = f64::from(used.cores.0) / f64::from(total.cores.0.max(1));
            let acted = if memory >= MEMORY_HIGH_FRACTION {
                self.move_largest_task(key, now)
            } else if cores >= CORES_HIGH_FRACTION {
                self.throttle(key)
            } else {
                cores < CORES_LOW_FRACTION && self.unthrottle(key)
            };
            if acted && let Some(worker) = self.workers.get_mut(key) {
                worker.relieved_at = Some(now.mono);
            }
        }
    }

    /// Whether the worker's usage was measured recently, and after the last step that
    /// was taken because of its load.
    fn has_new_usage(&self, worker: &Worker, now: Now) -> bool {
        let age = |usage: &crate::Usage| now.mono.saturating_duration_since(usage.measured);
        worker.usage.as_ref().is_some_and(|usage| {
            age(usage) <= self.limits.usage_ttl
                && worker.relieved_at.is_none_or(|relieved_at| usage.measured > relieved_at)
        })
    }

    /// Moves the background task with the most memory off the worker. Returns
    /// `false` if there is none.
    fn move_largest_task(&mut self, worker: WorkerKey, now: Now) -> bool {
        let movable = self.background_jobs(worker).into_iter().filter(|&key| self.may_preempt(key));
        let largest = movable.max_by_key(|&key| self.jobs[key].peak_usage.memory);
        if let Some(key) = largest {
            self.request_checkpoint(key, now);
        }
        largest.is_some()
    }

    /// Halves the processor time limit of all background tasks on a worker. The limit
    /// of a task that has none starts from its reserved cores. Returns `false` if there
    /// are no background tasks.
    fn throttle(&mut self, worker: WorkerKey) -> bool {
        let tasks = self.background_jobs(worker);
        for &key in &tasks {
            let job = &self.jobs[key];
            let limit = job.throttle.unwrap_or(job.reserved.cores).0;
            self.set_throttle(key, Some(Cores((limit / 2).max(1))));
        }
        !tasks.is_empty()
    }

    /// Removes the throttles of all background tasks on a worker. Returns `false`
    /// if there are none.
    fn unthrottle(&mut self, worker: WorkerKey) -> bool {
        let mut tasks = self.background_jobs(worker);
        tasks.retain(|&key| self.jobs[key].throttle.is_some());
        for &key in &tasks {
            self.set_throttle(key, None);
        }
        !tasks.is_empty()
    }

    fn set_throttle(&mut self, key: JobKey, limit: Option<Cores>) {
        let Some(task) = self.task(key) else { return };
        self.jobs[key].throttle = limit;
        self.actions.push(Action::Throttle { task, limit });
    }

    /// Returns the running background jobs on a worker.
    fn background_jobs(&self, worker: WorkerKey) -> Vec<JobKey> {
        let jobs = self.workers.get(worker).into_iter().flat_map(|worker| &worker.jobs);
        let background = |key: &JobKey| {
            let job = &self.jobs[*key];
            job.spec.class == Class::Background && job.state == JobState::Running
        };
        jobs.copied().filter(background).collect()
    }
}
