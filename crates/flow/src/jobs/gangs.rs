//! Gangs: tasks of a step that work only while all of them run.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::jobs::attempt::Phase;
use crate::jobs::checkpoint::Checkpoint;
use crate::jobs::crashes::CrashState;
use crate::jobs::job::JobKey;
use crate::placement::place::PlacementRequest;
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StepId, StepSpec, StopReason, TaskId};

impl Scheduler {
    /// Starts all tasks of a gang at once, or none.
    pub(crate) fn place_gang(
        &mut self,
        key: JobKey,
        id: StepId,
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let spec = Arc::clone(&self.jobs[key].spec);
        let step_spec = &spec.steps[usize::from(id.step)];
        if let Some(deadly) = self.proven_member(key, id, now) {
            self.give_up(key, deadly, now);
            return;
        }
        let advised = self.needs_adviser(key);
        if advised {
            self.request_advice(key, id, now);
        }
        let job = &self.jobs[key];
        let Some(step) = job.step(id.occurrence, id.step) else { return };
        let all_waiting = step.waiting.len() == step.tasks.len();
        let paused = step.tasks.iter().any(|task| task.not_before.is_some_and(|at| at > now));
        let unresolved =
            (0..step_spec.count).any(|index| self.unresolved.includes(TaskId { step: id, index }));
        if !all_waiting || paused || unresolved || !self.team_allows(key, &gang_need(step_spec)) {
            return;
        }
        let request = PlacementRequest {
            task: TaskId { step: id, index: 0 },
            spec: step_spec,
            step,
            advised,
            at_risk: self.expects_crashes(job.pool(), now),
            rack: None,
        };
        let Some(places) = self.gang_places(&request, workers, now) else { return };
        if !self.start_window.allows(places.len()) {
            return;
        }
        let last = step.tasks.iter().map(|task| task.last_attempt).max().unwrap_or_default();
        let attempt = self.token.attempt_after(last);
        let checkpoint = Checkpoint::common(step.tasks.iter().map(|task| &task.checkpoint));
        for (index, worker) in places.into_iter().enumerate() {
            let task = TaskId { step: id, index: index as u32 };
            self.start_from(key, task, attempt, checkpoint.clone(), worker, now);
        }
    }

    /// Returns a waiting member under which too many workers have crashed.
    fn proven_member(&self, key: JobKey, id: StepId, now: Instant) -> Option<TaskId> {
        let job = &self.jobs[key];
        let (step, spec) =
            (job.step(id.occurrence, id.step)?, &job.spec.steps[usize::from(id.step)]);
        let is_proven = |&&index: &&u32| {
            self.crash_state(&step.tasks[index as usize], spec, now) == CrashState::Proven
        };
        let index = step.waiting.iter().find(is_proven).copied()?;
        Some(TaskId { step: id, index })
    }

    /// Finds workers for all members, on one rack if they should be on one.
    fn gang_places(
        &self,
        request: &PlacementRequest<'_>,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<Vec<WorkerKey>> {
        if request.spec.same_rack {
            let mut racks: Vec<_> =
                workers.iter().filter_map(|&each| self.workers[each].rack.as_ref()).collect();
            racks.sort();
            racks.dedup();
            let on = |rack| {
                self.places(&PlacementRequest { rack: Some(rack), ..*request }, workers, now)
            };
            if let Some(places) = racks.into_iter().find_map(on) {
                return Some(places);
            }
        }
        self.places(request, workers, now)
    }

    fn places(
        &self,
        request: &PlacementRequest<'_>,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<Vec<WorkerKey>> {
        let mut taken = Vec::new();
        for index in 0..request.spec.count {
            let task = TaskId { index, ..request.task };
            let found =
                self.find_place(&PlacementRequest { task, ..*request }, workers, &taken, now)?;
            taken.push((found, request.spec.reservation()));
        }
        Some(taken.into_iter().map(|(worker, _)| worker).collect())
    }

    /// Stops the members of a gang that cannot become complete any more, before
    /// they stop waiting for the others.
    pub(crate) fn stop_broken_gangs(&mut self, now: Instant) {
        let mut broken = Vec::new();
        for (key, attempt) in &self.attempts {
            if matches!(attempt.phase, Phase::Stopping) {
                continue;
            }
            let Some(job) = self.job_of_attempt(attempt) else { continue };
            if !job.kinds.gang {
                continue;
            }
            let id = attempt.task.step;
            let spec = job.spec.steps.get(usize::from(id.step));
            let gang = spec.is_some_and(|spec| spec.gang);
            if gang && job.step(id.occurrence, id.step).is_some_and(|step| !step.waiting.is_empty())
            {
                broken.push(key);
            }
        }
        for key in broken {
            self.stop_attempt(key, StopReason::GangIncomplete, now);
        }
    }
}

/// Returns the resources that all members need together.
fn gang_need(step: &StepSpec) -> Resources {
    (0..step.count).fold(Resources::ZERO, |sum, _| sum.plus(&step.need))
}
