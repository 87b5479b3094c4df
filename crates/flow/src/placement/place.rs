//! Selection of the worker for a task.

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::jobs::attempt::Attempt;
use crate::jobs::occurrence::Step;
use crate::pools::demand::MIN_POOL_MACHINES;
use crate::workers::worker::{Worker, WorkerKey};
use crate::{Scheduler, StepId, StepSpec, TaskId};

/// Suitability of a worker for a task: the lowest value is the best one.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(crate) struct Fit {
    /// The task failed, stalled or was slow there before.
    avoided: bool,
    /// The task's data is on another rack.
    remote: bool,
    /// The worker is doubtful: many of its attempts fail, or it is slow.
    doubtful: bool,
    /// Latency-sensitive and best-effort tasks would share the worker.
    interferes: bool,
    /// A continuous task would have to move again, because the machine awaits its
    /// maintenance.
    moves_again: bool,
    /// A continuous task would be the first one there, although enough workers
    /// have some.
    opens_worker: bool,
    /// A worker with continuous tasks may crash under a task that ends by itself.
    endangers: bool,
    /// The worker may crash, and no task of the job runs there yet: the crash would hit
    /// one job more.
    apart: bool,
    /// Continuous tasks of the same step on the worker: they can leave it only
    /// one at a time.
    siblings: u32,
    /// The worker is slow for a while after a cold restart.
    cold: bool,
    /// Fraction of the worker that stays free, negated for tasks that are
    /// spread.
    free_fraction: f64,
}

/// A task that needs a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) task: TaskId,
    pub(crate) spec: &'a StepSpec,
    pub(crate) step: &'a Step,
    /// Whether the adviser's permission is needed.
    pub(crate) advised: bool,
    /// Whether the next task of the pool may crash its worker.
    pub(crate) at_risk: bool,
    /// Rack to which the choice is restricted.
    pub(crate) rack: Option<&'a SmolStr>,
}

impl Scheduler {
    /// Finds the best worker for a task among `workers`. `taken` is capacity
    /// that is assigned already but not yet reserved.
    pub(crate) fn find_place(
        &self,
        request: &PlacementRequest<'_>,
        workers: &[WorkerKey],
        taken: &[(WorkerKey, Resources)],
        now: Instant,
    ) -> Option<WorkerKey> {
        let reservation = request.spec.reservation();
        let continuous_workers = match request.spec.continuous {
            true => workers.iter().filter(|&&key| self.has_continuous(&self.workers[key])).count(),
            false => 0,
        };
        let fitting = workers.iter().filter_map(|&key| {
            let worker = &self.workers[key];
            let mut free = worker.free()?;
            if !request.spec.continuous {
                free = free.minus(&worker.drain_reserve);
            }
            for (_, used) in taken.iter().filter(|(each, _)| *each == key) {
                free = free.minus(used);
            }
            let fits = reservation.fits(&free) && self.may_run(request, key, worker, taken, now);
            fits.then(|| (self.fit(request, key, worker, &free, continuous_workers, now), key))
        });
        let best =
            fitting.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        best.map(|(_, key)| key)
    }

    /// Whether a worker is kept for no trial and meets the conditions of a task.
    fn may_run(
        &self,
        request: &PlacementRequest<'_>,
        key: WorkerKey,
        worker: &Worker,
        taken: &[(WorkerKey, Resources)],
        now: Instant,
    ) -> bool {
        worker.trial.is_none() && self.meets_conditions(request, key, worker, taken, now)
    }

    /// Whether a worker meets the conditions of a task: its label and rack, the maximum
    /// number of tasks of the step, no other attempt of the task, a valid ticket if one is
    /// needed, and for a continuous task that its machine stays.
    pub(crate) fn meets_conditions(
        &self,
        request: &PlacementRequest<'_>,
        key: WorkerKey,
        worker: &Worker,
        taken: &[(WorkerKey, Resources)],
        now: Instant,
    ) -> bool {
        let spec = request.spec;
        if spec.label.as_ref().is_some_and(|label| !worker.labels.contains(label)) {
            return false;
        }
        if request.rack.is_some_and(|rack| worker.rack.as_ref() != Some(rack)) {
            return false;
        }
        if spec.continuous && self.may_be_moved(worker.machine.as_ref()) {
            return false;
        }
        if let Some(max_tasks) = spec.per_worker {
            let here = self.tasks_on(worker, request.task.step);
            let planned = taken.iter().filter(|(each, _)| *each == key).count() as u32;
            if here + planned >= max_tasks {
                return false;
            }
        }
        // A second attempt on the same worker would fail together with the
        // first one.
        let task = &request.step.tasks[request.task.index as usize];
        if task.attempts.iter().any(|&attempt| self.attempts[attempt].worker == key) {
            return false;
        }
        !request.advised || request.step.tickets.get(key, now).is_some()
    }

    /// Returns the number of attempts of a step on a worker.
    pub(crate) fn tasks_on(&self, worker: &Worker, step: StepId) -> u32 {
        worker.attempts.iter().filter(|&&attempt| self.attempts[attempt].task.step == step).count()
            as u32
    }

    /// Returns how suitable a worker is whose free capacity is `free`.
    pub(crate) fn fit(
        &self,
        request: &PlacementRequest<'_>,
        key: WorkerKey,
        worker: &Worker,
        free: &Resources,
        continuous_workers: usize,
        now: Instant,
    ) -> Fit {
        let spec = request.spec;
        let remaining = free.minus(&spec.reservation());
        let task = &request.step.tasks[request.task.index as usize];
        // Tasks that interfere with each other are spread, others are packed. So are tasks
        // that may crash their worker.
        let at_risk = request.at_risk;
        let spread = spec.best_effort || spec.latency_target.is_some() || at_risk;
        let free_fraction = remaining.dominant_share(&worker.capacity);
        Fit {
            avoided: task.avoided.contains(&key),
            remote: spec.data_rack.is_some() && spec.data_rack != worker.rack,
            doubtful: worker.health.is_doubtful(),
            interferes: self.would_interfere(spec, worker),
            moves_again: spec.continuous && self.awaits_maintenance(worker.machine.as_ref()),
            // Continuous tasks share few machines, so that the other machines
            // can be moved.
            opens_worker: continuous_workers >= MIN_POOL_MACHINES && !self.has_continuous(worker),
            endangers: at_risk && !spec.continuous && self.has_continuous(worker),
            apart: at_risk && !spec.continuous && !self.has_job(worker, request.task.step.job),
            siblings: if spec.continuous { self.tasks_on(worker, request.task.step) } else { 0 },
            cold: self.is_cold(worker, now),
            free_fraction: if spread { -free_fraction } else { free_fraction },
        }
    }

    /// Whether a task of a job runs on a worker.
    fn has_job(&self, worker: &Worker, job: JobId) -> bool {
        worker.attempts.iter().any(|&attempt| self.attempts[attempt].task.step.job == job)
    }

    pub(crate) fn has_continuous(&self, worker: &Worker) -> bool {
        let continuous = |&attempt: &crate::jobs::attempt::AttemptKey| {
            self.spec_of(self.attempts[attempt].task).is_some_and(|spec| spec.continuous)
        };
        worker.attempts.iter().any(continuous)
    }

    /// Whether the worker has tasks that would interfere with this one.
    fn would_interfere(&self, spec: &StepSpec, worker: &Worker) -> bool {
        if !spec.best_effort && spec.latency_target.is_none() {
            return false;
        }
        worker.attempts.iter().any(|&attempt| {
            let other = self.spec_of(self.attempts[attempt].task);
            other.is_some_and(|other| {
                if spec.best_effort { other.latency_target.is_some() } else { other.best_effort }
            })
        })
    }

    /// Returns the specification of an attempt's step.
    pub(crate) fn spec_of_attempt(&self, attempt: &Attempt) -> Option<&StepSpec> {
        self.job_of_attempt(attempt)?.spec.steps.get(usize::from(attempt.task.step.step))
    }

    /// Returns the specification of a task's step.
    pub(crate) fn spec_of(&self, task: TaskId) -> Option<&StepSpec> {
        self.job_of(task)?.spec.steps.get(usize::from(task.step.step))
    }
}
