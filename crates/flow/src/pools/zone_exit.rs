//! Moves continuous tasks out of drained zones.
//!
//! Load that this module handles: the other zones are full of short tasks when a zone is
//! drained. Room elsewhere then appears only as single tasks end, and each round gives it
//! to the next waiting task. So the continuous tasks of the zone are looked at in each
//! round before waiting tasks are placed, and room that was found for one of them is
//! reserved until it has stopped.

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::jobs::attempt::{AttemptKey, Phase};
use crate::jobs::job::JobKey;
use crate::pools::evict::EvictionPass;
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StepId, StopReason, TaskId};

/// Largest number of tasks for which room is looked for in one round, which bounds its
/// time.
const MAX_TASKS_PER_ROUND: usize = 64;
/// Number of workers with room that are compared at once. That one of them may run the
/// task is enough: the best one is chosen when the task starts again.
const WORKERS_COMPARED: usize = 16;

/// A continuous task that needs room outside of the drained zones.
#[derive(Debug, Clone, Copy)]
struct TaskToPlace {
    job: JobKey,
    task: TaskId,
    reservation: Resources,
    /// Whether the number of tasks of its step on a worker is limited.
    limited: bool,
}

/// Where tasks go that leave drained zones.
#[derive(Debug, Default)]
struct Moves {
    pass: EvictionPass,
    /// Steps and the workers that tasks of them move to.
    promised: Vec<(StepId, WorkerKey)>,
}

impl Scheduler {
    /// Evicts continuous tasks from drained zones, each if there is room for it
    /// elsewhere.
    pub(crate) fn evict_from_drained_zones(&mut self, now: Instant) {
        if self.zone_drains.zones.is_empty() {
            return;
        }
        self.release_drain_reserves();
        let leaving = self.attempts_in_drained_zones(Phase::Running);
        let stopping = self.attempts_in_drained_zones(Phase::Stopping);
        if leaving.is_empty() && stopping.is_empty() {
            return;
        }
        let mut moves = Moves::default();
        for moving in self.tasks_without_worker(&stopping) {
            self.reserve_room(moving, &mut moves, now);
        }
        let mut evictions = 0;
        for attempt in leaving {
            evictions += usize::from(self.evict_from_zone(attempt, &mut moves, now));
            if evictions >= MAX_TASKS_PER_ROUND {
                return;
            }
        }
    }

    /// Gives up the room that is reserved for tasks that leave drained zones.
    pub(crate) fn release_drain_reserves(&mut self) {
        self.workers.values_mut().for_each(|worker| worker.drain_reserve = Resources::ZERO);
    }

    /// Returns the attempts of continuous tasks in drained zones that are in a phase.
    /// A worker that is unreachable would not receive a command to stop them.
    fn attempts_in_drained_zones(&self, phase: Phase) -> Vec<AttemptKey> {
        let drained = self.workers.values();
        let drained =
            drained.filter(|worker| worker.zone_drained && worker.unreachable_since.is_none());
        let attempts = drained.flat_map(|worker| worker.attempts.iter().copied());
        attempts
            .filter(|&each| self.attempts[each].phase == phase && self.is_continuous(each))
            .collect()
    }

    /// Returns continuous tasks that wait, or whose attempt is `stopping` in a drained
    /// zone: they take room before another task is stopped for it.
    fn tasks_without_worker(&self, stopping: &[AttemptKey]) -> Vec<TaskToPlace> {
        let open = self.jobs.iter().filter(|(_, job)| job.is_open() && job.spec.is_continuous());
        let steps = open.flat_map(|(key, job)| job.ready_steps().map(move |ready| (key, ready)));
        let waiting = steps.filter(|(_, ready)| ready.spec.continuous).flat_map(|(job, ready)| {
            let moving = move |&index: &u32| TaskToPlace {
                job,
                task: TaskId { step: ready.id, index },
                reservation: ready.spec.reservation(),
                limited: ready.spec.per_worker.is_some(),
            };
            ready.step.waiting.iter().map(moving)
        });
        let stopping = stopping.iter().filter_map(|&attempt| self.task_to_place(attempt));
        waiting.chain(stopping).take(MAX_TASKS_PER_ROUND).collect()
    }

    /// Returns the task of an attempt if it is to start again elsewhere.
    fn task_to_place(&self, attempt: AttemptKey) -> Option<TaskToPlace> {
        let state = &self.attempts[attempt];
        let job = *self.job_ids.get(&state.task.step.job)?;
        let limited = self.spec_of(state.task)?.per_worker.is_some();
        let reservation = state.usage.as_ref()?.reserved;
        let moving = TaskToPlace { job, task: state.task, reservation, limited };
        self.jobs[job].is_open().then_some(moving)
    }

    /// Stops a continuous task in a drained zone if it can move. Returns whether it can.
    fn evict_from_zone(&mut self, attempt: AttemptKey, moves: &mut Moves, now: Instant) -> bool {
        let Some(moving) = self.task_to_place(attempt) else { return false };
        let step = moving.task.step;
        let was_stuck = moves.pass.is_stuck(step);
        let promised = &moves.promised;
        let find_target = |scheduler: &Scheduler, pass: &mut EvictionPass, _: &PoolId| {
            scheduler.zone_target(moving, pass, promised, now)
        };
        let reason = StopReason::ZoneDrained;
        let target = self.evict(attempt, &mut moves.pass, reason, find_target, now);
        if let Some(target) = target {
            self.reserve(moving, target, moves);
        } else if !was_stuck && moves.pass.is_stuck(step) {
            self.ask_about_exit(moving, now);
        }
        target.is_some()
    }

    /// Reserves room for a task that has no worker.
    fn reserve_room(&mut self, moving: TaskToPlace, moves: &mut Moves, now: Instant) {
        let target = self.zone_target(moving, &mut moves.pass, &moves.promised, now);
        if let Some(target) = target {
            self.reserve(moving, target, moves);
        }
    }

    fn reserve(&mut self, moving: TaskToPlace, target: WorkerKey, moves: &mut Moves) {
        let worker = &mut self.workers[target];
        worker.drain_reserve = worker.drain_reserve.plus(&moving.reservation);
        moves.promised.push((moving.task.step, target));
    }

    /// Returns the worker that a task would move to, of those with room that is not
    /// reserved for another task.
    fn zone_target(
        &self,
        moving: TaskToPlace,
        pass: &mut EvictionPass,
        promised: &[(StepId, WorkerKey)],
        now: Instant,
    ) -> Option<WorkerKey> {
        let has_room = |key: &WorkerKey| {
            let worker = &self.workers[*key];
            let is_promised = || moving.limited && promised.contains(&(moving.task.step, *key));
            let free = worker.free().map(|free| free.minus(&worker.drain_reserve));
            free.is_some_and(|free| moving.reservation.fits(&free)) && !is_promised()
        };
        let pool = self.jobs[moving.job].pool();
        let workers = pass.targets(pool, |pool| self.eviction_targets(pool, now));
        let mut with_room = workers.iter().copied().filter(has_room);
        loop {
            let part: Vec<_> = with_room.by_ref().take(WORKERS_COMPARED).collect();
            if part.is_empty() {
                return None;
            }
            let found = self.find_worker(moving.job, moving.task, &part, now);
            if found.is_some() {
                return found;
            }
        }
    }

    /// Asks the adviser which workers elsewhere may run the step of a task that has to
    /// move: it is asked about waiting tasks only, and this one runs.
    fn ask_about_exit(&mut self, moving: TaskToPlace, now: Instant) {
        if self.needs_adviser(moving.job) {
            self.request_advice(moving.job, moving.task.step, now);
        }
    }
}
