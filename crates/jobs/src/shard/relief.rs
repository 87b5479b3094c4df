//! Relief of workers whose tasks use more than was planned.

use super::Shard;
use crate::job::JobKey;
use crate::worker::Worker;
use crate::workers::WorkerKey;
use crate::{Action, Class, Cores, JobState, Now, Resources};

/// Part of its memory at which a worker is relieved; beyond it the host kills.
const MEMORY_HIGH: f64 = 0.92;

/// Part of its cores at which background tasks are throttled.
const CORES_HIGH: f64 = 0.97;

/// Part of its cores below which throttles are lifted.
const CORES_LOW: f64 = 0.75;

impl Shard {
    /// Throttles, checkpoints or stops background tasks on overloaded workers,
    /// one step for each new measurement.
    pub(super) fn relieve(&mut self, now: Now) {
        let fresh = self.workers.iter().filter(|(_, worker)| self.is_fresh(worker, now));
        let workers: Vec<(WorkerKey, Resources, Resources)> = fresh
            .filter_map(|(key, worker)| Some((key, worker.usage.as_ref()?.total, worker.total)))
            .collect();
        for (key, used, total) in workers {
            let memory = used.memory.0 as f64 / total.memory.0.max(1) as f64;
            let cores = f64::from(used.cores.0) / f64::from(total.cores.0.max(1));
            let acted = if memory >= MEMORY_HIGH {
                self.shed(key, now)
            } else if cores >= CORES_HIGH {
                self.throttle(key)
            } else {
                cores < CORES_LOW && self.unthrottle(key)
            };
            if acted && let Some(worker) = self.workers.get_mut(key) {
                worker.relieved = Some(now.mono);
            }
        }
    }

    /// Whether a measurement is recent, and taken after the last relief.
    fn is_fresh(&self, worker: &Worker, now: Now) -> bool {
        let age = |usage: &crate::Usage| now.mono.saturating_duration_since(usage.measured);
        worker.usage.as_ref().is_some_and(|usage| {
            age(usage) <= self.limits.usage_ttl
                && worker.relieved.is_none_or(|relieved| usage.measured > relieved)
        })
    }

    /// Moves the background task with the most memory off the worker.
    fn shed(&mut self, worker: WorkerKey, now: Now) -> bool {
        let movable = self.background(worker).into_iter().filter(|&key| self.may_move(key));
        let largest = movable.max_by_key(|&key| self.jobs[key].peak.memory);
        if let Some(key) = largest {
            self.ask_checkpoint(key, now);
        }
        largest.is_some()
    }

    /// Halves the processor time of background tasks.
    fn throttle(&mut self, worker: WorkerKey) -> bool {
        let tasks = self.background(worker);
        for &key in &tasks {
            let job = &self.jobs[key];
            let now = job.throttle.unwrap_or(job.held.cores).0;
            self.set_throttle(key, Some(Cores((now / 2).max(1))));
        }
        !tasks.is_empty()
    }

    fn unthrottle(&mut self, worker: WorkerKey) -> bool {
        let mut tasks = self.background(worker);
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

    fn background(&self, worker: WorkerKey) -> Vec<JobKey> {
        let jobs = self.workers.get(worker).into_iter().flat_map(|worker| &worker.jobs);
        let background = |key: &JobKey| {
            let job = &self.jobs[*key];
            job.spec.class == Class::Background && job.state == JobState::Running
        };
        jobs.copied().filter(background).collect()
    }
}
