//! Room for tasks that have to run at all times.
//!
//! Load it answers: a pool that is full of short tasks when a lasting task has
//! lost its worker. The work that is lost least is stopped for it.

use vg_base::prelude::*;

use crate::attempt::{AttemptKey, Phase};
use crate::job::JobKey;
use crate::worker::WorkerKey;
use crate::{Scheduler, StepSpec, StopReason, TaskId};

/// What is stopped on a worker, and the work that this loses.
struct Victims {
    lost: Duration,
    attempts: Vec<AttemptKey>,
}

impl Scheduler {
    /// Stops work of less weight so that a task that has to run finds room.
    pub(crate) fn make_room(
        &mut self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let Some(spec) = self.spec_of(task).cloned() else { return };
        let able = workers.iter().filter(|&&worker| self.may_host(key, task, &spec, worker, now));
        let able: Vec<_> = able.copied().collect();
        // Room that is already being made is waited for.
        if able.iter().any(|&worker| self.is_making_room(worker)) {
            return;
        }
        let chosen = able.iter().filter_map(|&worker| self.victims(worker, &spec, now));
        let best = chosen.min_by_key(|victims| victims.lost);
        for attempt in best.map(|victims| victims.attempts).unwrap_or_default() {
            self.stop_attempt(attempt, StopReason::Preempted, now);
        }
    }

    /// Whether a worker may run the task once it has room.
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
        let allowed = !self.is_advised(key) || ticket.is_some();
        let labelled = spec.label.as_ref().is_none_or(|label| state.labels.contains(label));
        let below = spec.per_worker.is_none_or(|most| self.tasks_on(state, task.step) < most);
        allowed && labelled && below
    }

    fn is_making_room(&self, worker: WorkerKey) -> bool {
        self.workers[worker]
            .attempts
            .iter()
            .any(|&attempt| self.attempts[attempt].phase == Phase::Stopping)
    }

    /// Returns the youngest short runs whose end makes enough room; `None` if
    /// all of them are not enough.
    fn victims(&self, worker: WorkerKey, spec: &StepSpec, now: Instant) -> Option<Victims> {
        let room = spec.room();
        let state = &self.workers[worker];
        let mut free = state.free();
        let mut victims = Victims { lost: Duration::ZERO, attempts: Vec::new() };
        for attempt in self.short_runs(worker) {
            if room.fits(&free) {
                break;
            }
            victims.lost += now.saturating_duration_since(self.attempts[attempt].since);
            free = free.plus(&self.attempts[attempt].room);
            victims.attempts.push(attempt);
        }
        room.fits(&free).then_some(victims)
    }

    /// Returns runs that end by themselves and belong to no gang, youngest
    /// first.
    fn short_runs(&self, worker: WorkerKey) -> Vec<AttemptKey> {
        let is_short = |attempt: &AttemptKey| {
            let state = &self.attempts[*attempt];
            let spec = self.spec_of(state.task);
            state.is_running() && spec.is_some_and(|spec| !spec.continuous && !spec.gang)
        };
        let mut attempts: Vec<_> =
            self.workers[worker].attempts.iter().copied().filter(is_short).collect();
        attempts.sort_by_key(|&attempt| std::cmp::Reverse(self.attempts[attempt].since));
        attempts
    }
}
