//! Where a task goes.

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::demand::MACHINES_MIN;
use crate::job::Step;
use crate::worker::{Worker, WorkerKey};
use crate::{Flow, StepId, StepSpec, TaskId};

/// A place for a task: the smallest is the best one.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Fit {
    /// It failed or stalled there before.
    avoided: bool,
    /// The data is on another rack.
    far: bool,
    /// Serving and filling tasks would share the worker.
    disturbed: bool,
    /// A lasting task would be the first one there, and enough workers have
    /// some.
    apart: bool,
    /// Lasting tasks of the step that are there: they can leave only one by one.
    beside: u32,
    /// Part of the worker that stays free.
    left: f64,
}

/// What a place is sought for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sought<'a> {
    pub(crate) task: TaskId,
    pub(crate) spec: &'a StepSpec,
    pub(crate) step: &'a Step,
    /// Whether the adviser's permission is needed.
    pub(crate) advised: bool,
    /// Rack to which the choice is bound.
    pub(crate) rack: Option<&'a SmolStr>,
}

impl Flow {
    /// Finds the best worker for a task among `workers`. `taken` is room that
    /// is spoken for and not entered yet.
    pub(crate) fn find_place(
        &self,
        sought: &Sought<'_>,
        workers: &[WorkerKey],
        taken: &[(WorkerKey, Resources)],
        now: Instant,
    ) -> Option<WorkerKey> {
        let room = sought.spec.room();
        let homes = match sought.spec.lasting {
            true => workers.iter().filter(|&&key| self.has_lasting(&self.workers[key])).count(),
            false => 0,
        };
        let fitting = workers.iter().filter_map(|&key| {
            let worker = &self.workers[key];
            let mut free = worker.free();
            for (_, used) in taken.iter().filter(|(each, _)| *each == key) {
                free = free.minus(used);
            }
            let fits = room.fits(&free) && self.may_run(sought, key, worker, taken, now);
            fits.then(|| (self.fit(sought, key, worker, &free, homes), key))
        });
        let best =
            fitting.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
        best.map(|(_, key)| key)
    }

    fn may_run(
        &self,
        sought: &Sought<'_>,
        key: WorkerKey,
        worker: &Worker,
        taken: &[(WorkerKey, Resources)],
        now: Instant,
    ) -> bool {
        let spec = sought.spec;
        if spec.label.as_ref().is_some_and(|label| !worker.labels.contains(label)) {
            return false;
        }
        if sought.rack.is_some_and(|rack| worker.rack.as_ref() != Some(rack)) {
            return false;
        }
        if let Some(most) = spec.per_worker {
            let here = self.tasks_on(worker, sought.task.step);
            let coming = taken.iter().filter(|(each, _)| *each == key).count() as u32;
            if here + coming >= most {
                return false;
            }
        }
        // A copy beside its original would share its fate.
        let task = &sought.step.tasks[sought.task.index as usize];
        if task.runs.iter().any(|&run| self.runs[run].worker == key) {
            return false;
        }
        !sought.advised || sought.step.tickets.get(key, now).is_some()
    }

    pub(crate) fn tasks_on(&self, worker: &Worker, step: StepId) -> u32 {
        worker.runs.iter().filter(|&&run| self.runs[run].task.step == step).count() as u32
    }

    fn fit(
        &self,
        sought: &Sought<'_>,
        key: WorkerKey,
        worker: &Worker,
        free: &Resources,
        homes: usize,
    ) -> Fit {
        let spec = sought.spec;
        let left = free.minus(&spec.room());
        let task = &sought.step.tasks[sought.task.index as usize];
        // Tasks that disturb each other are spread, others are packed.
        let spread = spec.fills || spec.target.is_some();
        let part = left.dominant_share(&worker.capacity);
        Fit {
            avoided: task.avoid.contains(&key),
            far: spec.rack.is_some() && spec.rack != worker.rack,
            disturbed: self.would_disturb(spec, worker),
            // Lasting tasks share few machines, so that the others can move.
            apart: homes >= MACHINES_MIN && !self.has_lasting(worker),
            beside: if spec.lasting { self.tasks_on(worker, sought.task.step) } else { 0 },
            left: if spread { -part } else { part },
        }
    }

    pub(crate) fn has_lasting(&self, worker: &Worker) -> bool {
        let lasts = |&run: &crate::run::RunKey| {
            self.spec_of(self.runs[run].task).is_some_and(|spec| spec.lasting)
        };
        worker.runs.iter().any(lasts)
    }

    /// Whether the worker has tasks that this one would disturb, or that would
    /// disturb it.
    fn would_disturb(&self, spec: &StepSpec, worker: &Worker) -> bool {
        if !spec.fills && spec.target.is_none() {
            return false;
        }
        worker.runs.iter().any(|&run| {
            let other = self.spec_of(self.runs[run].task);
            other.is_some_and(|other| if spec.fills { other.target.is_some() } else { other.fills })
        })
    }

    /// Returns what was asked for the step of a task.
    pub(crate) fn spec_of(&self, task: TaskId) -> Option<&StepSpec> {
        self.job_of(task)?.spec.steps.get(usize::from(task.step.step))
    }
}
