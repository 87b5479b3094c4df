//! Preemption of other tasks for tasks that have to run at all times.
//!
//! Load that this module handles: a pool is full of short tasks when a
//! continuous task has lost its worker. The attempts that lose the least work
//! are stopped for it.

use vg_base::prelude::*;

use crate::jobs::attempt::{AttemptKey, Phase};
use crate::jobs::job::JobKey;
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StepSpec, StopReason, TaskId};

/// Attempts to stop on a worker, and the work that is lost by it.
struct Victims {
    lost_work: Duration,
    attempts: Vec<AttemptKey>,
}

impl Scheduler {
    /// Stops less important attempts so that a continuous task finds capacity.
    pub(crate) fn preempt_for(
        &mut self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let Some(spec) = self.spec_of(task).cloned() else { return };
        let candidates =
            workers.iter().filter(|&&worker| self.may_host(key, task, &spec, worker, now));
        let candidates: Vec<_> = candidates.copied().collect();
        // Wait for capacity that is already being freed.
        if candidates.iter().any(|&worker| self.is_preempting(worker)) {
            return;
        }
        let chosen = candidates.iter().filter_map(|&worker| self.victims(worker, &spec, now));
        let best = chosen.min_by_key(|victims| victims.lost_work);
        for attempt in best.map(|victims| victims.attempts).unwrap_or_default() {
            self.stop_attempt(attempt, StopReason::Preempted, now);
        }
    }

    /// Stops less important attempts on a worker so that a continuous task fits there.
    pub(crate) fn preempt_on(&mut self, worker: WorkerKey, spec: &StepSpec, now: Instant) {
        if self.is_preempting(worker) {
            return;
        }
        let victims = self.victims(worker, spec, now);
        for attempt in victims.map(|victims| victims.attempts).unwrap_or_default() {
            self.stop_attempt(attempt, StopReason::Preempted, now);
        }
    }

    /// Whether a worker may run the task once it has the capacity.
    fn may_host(
        &self,
        key: JobKey,
        task: TaskId,
        spec: &StepSpec,
        worker: WorkerKey,
        now: Instant,
    ) -> bool {
        let state = &self.workers[worker];
        let step = self.jobs[key].step(task.step.occurrence, task.step.step);
        let ticket = step.and_then(|step| step.tickets.get(worker, now));
        let allowed = !self.needs_adviser(key) || ticket.is_some();
        let has_label = spec.label.as_ref().is_none_or(|label| state.labels.contains(label));
        let below_limit =
            spec.per_worker.is_none_or(|max_tasks| self.tasks_on(state, task.step) < max_tasks);
        allowed && has_label && below_limit
    }

    fn is_preempting(&self, worker: WorkerKey) -> bool {
        self.workers[worker]
            .attempts
            .iter()
            .any(|&attempt| self.attempts[attempt].phase == Phase::Stopping)
    }

    /// Returns the most recently started preemptible attempts that free enough
    /// capacity; `None` if all of them are not enough.
    fn victims(&self, worker: WorkerKey, spec: &StepSpec, now: Instant) -> Option<Victims> {
        let reservation = spec.reservation();
        let state = &self.workers[worker];
        // It may use more than its capacity, which has shrunk then.
        let mut used = state.used.total()?;
        let mut victims = Victims { lost_work: Duration::ZERO, attempts: Vec::new() };
        for attempt in self.preemptible_attempts(worker) {
            if used.plus(&reservation).fits(&state.capacity) {
                break;
            }
            victims.lost_work += now.saturating_duration_since(self.attempts[attempt].started);
            let usage = self.attempts[attempt].usage.as_ref();
            used = usage.map_or(used, |usage| used.minus(&usage.reserved));
            victims.attempts.push(attempt);
        }
        used.plus(&reservation).fits(&state.capacity).then_some(victims)
    }

    /// Returns attempts of tasks that end by themselves and belong to no gang,
    /// the most recently started first.
    fn preemptible_attempts(&self, worker: WorkerKey) -> Vec<AttemptKey> {
        let is_preemptible = |attempt: &AttemptKey| {
            let state = &self.attempts[*attempt];
            let spec = self.spec_of(state.task);
            state.is_running() && spec.is_some_and(|spec| !spec.continuous && !spec.gang)
        };
        let mut attempts: Vec<_> =
            self.workers[worker].attempts.iter().copied().filter(is_preemptible).collect();
        attempts.sort_by_key(|&attempt| std::cmp::Reverse(self.attempts[attempt].started));
        attempts
    }
}
