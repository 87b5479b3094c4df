//! Tasks for workers on probation.
//!
//! Load that this module handles: a doubtful worker can be judged only by tasks, and
//! these may fail or be slow there. It gets few at a time, of the jobs that lose least
//! by it.

use vg_base::prelude::*;

use crate::jobs::job::JobKey;
use crate::jobs::occurrence::Task;
use crate::order::rank::{Timeliness, rank};
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StepId, StepSpec, TaskId};

/// Maximum number of jobs that are considered for one worker in a round.
const MAX_CANDIDATES: usize = 64;
/// A job that can be in time loses nothing by a probe if it has this multiple of the
/// task's expected time to spare.
const MIN_SPARE_TIMES: u32 = 2;

/// When a job may give a task to a worker on probation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeRule {
    /// If it loses nothing by a failed or slow attempt.
    Harmless,
    /// If its task has found no other place in this round.
    Unplaced,
}

impl Scheduler {
    /// Starts probe tasks on workers on probation. `jobs` are in the order in which
    /// they lose least.
    pub(crate) fn place_probes(
        &mut self,
        jobs: impl Iterator<Item = JobKey> + Clone,
        rule: ProbeRule,
        now: Instant,
        wall: SystemTime,
    ) {
        if !self.quarantine.is_active {
            return;
        }
        let on_probation = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.health.probation.is_some() && worker.is_usable(now));
        let workers: Vec<_> = on_probation.map(|(key, _)| key).collect();
        for worker in workers {
            for _ in 0..self.free_probes(worker) {
                let pool = &self.workers[worker].incarnation.pool;
                let candidates = jobs.clone().filter(|&key| self.jobs[key].pool() == pool);
                let mut tasks = candidates
                    .take(MAX_CANDIDATES)
                    .filter_map(|key| Some((key, self.probe_task(key, worker, rule, now, wall)?)));
                let Some((key, task)) = tasks.next() else { break };
                drop(tasks);
                if !self.start_window.allows(1) {
                    return;
                }
                let attempt = self.next_attempt(key, task);
                self.start(key, task, attempt, worker, now);
            }
        }
    }

    /// Returns how many more tasks a worker on probation may have. Continuous tasks,
    /// which stay, do not count.
    fn free_probes(&self, worker: WorkerKey) -> u32 {
        let worker = &self.workers[worker];
        let ends = |attempt: &&crate::jobs::attempt::AttemptKey| {
            !self.spec_of(self.attempts[**attempt].task).is_some_and(|spec| spec.continuous)
        };
        let here = worker.attempts.iter().filter(ends).count() as u32;
        worker.health.allowance().unwrap_or_default().saturating_sub(here)
    }

    /// Returns a task of a job that a worker on probation may run.
    fn probe_task(
        &self,
        key: JobKey,
        worker: WorkerKey,
        rule: ProbeRule,
        now: Instant,
        wall: SystemTime,
    ) -> Option<TaskId> {
        let job = &self.jobs[key];
        if self.may_run_unseen(job) {
            return None;
        }
        let max_failures = self.config.queue_of(&job.spec)?.max_failures as usize;
        for ready in job.ready_steps().filter(|ready| is_probe(ready.spec)) {
            if !self.team_allows(key, &ready.spec.need) {
                continue;
            }
            if rule == ProbeRule::Harmless && !self.is_harmless(key, ready.id, wall) {
                continue;
            }
            // One more failure must not end the job, unless each one does.
            let may_fail = |task: &Task| {
                task.failed_attempts.len() + 1 < max_failures
                    || (max_failures <= 1 && rule == ProbeRule::Unplaced)
            };
            let may_start = |id: &TaskId| {
                let task = &ready.step.tasks[id.index as usize];
                self.is_startable(key, *id, ready.spec, now)
                    && may_fail(task)
                    && !task.avoided.contains(&worker)
            };
            let mut ids = ready.step.waiting.iter().map(|&index| TaskId { step: ready.id, index });
            // The other tasks of the step need the same: the first one decides for all.
            let id = ids.find(may_start);
            if let Some(id) = id.filter(|&id| self.find_worker(key, id, &[worker], now).is_some()) {
                return Some(id);
            }
        }
        None
    }

    /// Whether a job loses nothing, or little, by a failed or slow attempt of a task:
    /// it is late already, or has time to spare.
    fn is_harmless(&self, key: JobKey, step: StepId, wall: SystemTime) -> bool {
        let Some(mut input) = self.rank_input_of(key, wall) else { return true };
        if rank(&input).timeliness > Timeliness::OnTime {
            return true;
        }
        input.age += self.expected_time(&self.jobs[key], usize::from(step.step)) * MIN_SPARE_TIMES;
        rank(&input).timeliness == Timeliness::OnTime
    }

    /// Returns the workers for a step that has to run as a whole or at all times:
    /// those on probation are among them only if the others could not hold it even
    /// without other tasks.
    pub(crate) fn workers_for_whole(
        &self,
        pool: &PoolId,
        spec: &StepSpec,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Vec<WorkerKey> {
        let mut workers = workers.to_vec();
        let doubtful = self.probation_workers(pool, now);
        if !doubtful.is_empty() {
            let places: u32 = workers.iter().map(|&key| self.places_on(key, spec)).sum();
            if places < spec.count {
                workers.extend(doubtful);
            }
        }
        workers
    }

    /// Returns how many tasks of a step a worker could hold without other tasks.
    fn places_on(&self, key: WorkerKey, spec: &StepSpec) -> u32 {
        let worker = &self.workers[key];
        let reservation = spec.reservation();
        let has_label = spec.label.as_ref().is_none_or(|label| worker.labels.contains(label));
        if !has_label || !reservation.fits(&worker.capacity) {
            return 0;
        }
        let share = reservation.dominant_share(&worker.capacity).max(f64::EPSILON);
        ((1.0 / share) as u32).min(spec.per_worker.unwrap_or(u32::MAX))
    }
}

/// Whether a step's tasks can be probes: they end by themselves and alone.
fn is_probe(spec: &StepSpec) -> bool {
    !spec.gang && !spec.continuous && !spec.best_effort && spec.latency_target.is_none()
}
