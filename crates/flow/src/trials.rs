//! Trials: how a task starts under which a worker has crashed.
//!
//! Load that this module handles: several tasks started just before a worker crashed, and
//! one of them crashes the next worker too. Each is started where nothing else has started
//! for a moment, so that a second crash has one possible cause, and where the least work
//! is lost by it. Few workers of a pool hold a trial at once, and they get nothing else
//! until it has lasted longer than the attempt that crashed.

use std::sync::Arc;

use vg_base::prelude::*;

use crate::attempt::{AttemptKey, Phase};
use crate::crashes::{CrashState, Suspicion};
use crate::job::JobKey;
use crate::place::PlacementRequest;
use crate::plan::PoolPass;
use crate::worker::WorkerKey;
use crate::{Scheduler, StepId, TaskId};

/// A pool's usable workers divided by this number may hold trials at once, but at least
/// one.
const TRIAL_DIVISOR: usize = 8;
/// Time after the last start on a worker from which a crash is not due to that start.
const QUIET_TIME: Duration = Duration::from_millis(100);
/// Time by which a trial outlasts the attempts that crashed.
const TRIAL_MARGIN: Duration = Duration::from_millis(250);
/// Longest trial.
const MAX_TRIAL: Duration = Duration::from_secs(5);
/// Time after which a worker that is kept for a trial is released.
const MAX_RESERVATION: Duration = Duration::from_secs(3);
/// Longest time for which a trial waits for its pool to have free capacity: a trial that
/// ends in a crash takes a worker away, and the job is late already.
const MAX_DEFERRAL: Duration = Duration::from_secs(5);
/// Number of tasks that end by themselves, to which a continuous one is equal where it
/// would be lost.
const CONTINUOUS_WEIGHT: usize = 8;

/// A worker that is kept for a trial, or holds one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Trial {
    pub(crate) task: TaskId,
    /// The attempt, once it is started.
    pub(crate) attempt: Option<AttemptKey>,
    pub(crate) since: Instant,
}

impl Scheduler {
    /// Ends the trials that are passed, and those that can't go on.
    pub(crate) fn review_trials(&mut self, now: Instant) {
        let on_trial = self.workers.iter().filter(|(_, worker)| worker.trial.is_some());
        let keys: Vec<_> = on_trial.map(|(key, _)| key).collect();
        for key in keys {
            let Some(trial) = self.workers[key].trial else { continue };
            let Some(attempt) = trial.attempt else {
                if !self.is_wanted(trial, key, now) {
                    self.workers[key].trial = None;
                }
                continue;
            };
            let Some(state) = self.attempts.get(attempt) else {
                self.workers[key].trial = None;
                continue;
            };
            let since = state.confirmed.filter(|_| state.phase != Phase::Unresolved);
            let lasted = since.map(|since| now.saturating_duration_since(since));
            if lasted.is_some_and(|lasted| lasted >= self.trial_time(trial.task)) {
                self.workers[key].trial = None;
                self.pass_trial(trial.task);
            }
        }
    }

    /// Whether a worker is still to be kept for a trial.
    fn is_wanted(&self, trial: Trial, key: WorkerKey, now: Instant) -> bool {
        let in_time = now.saturating_duration_since(trial.since) < MAX_RESERVATION;
        let job = self.job_of(trial.task).filter(|job| job.is_open());
        let task = job.and_then(|job| job.task(trial.task));
        let waits = task.is_some_and(|task| !task.done);
        in_time && waits && self.workers[key].is_usable(now)
    }

    /// Returns how long a trial of a task takes.
    fn trial_time(&self, id: TaskId) -> Duration {
        let marks = self.job_of(id).and_then(|job| job.task(id)).map(|task| &task.crashes);
        let ages = marks.into_iter().flatten().map(|mark| mark.age_ms);
        let longest = Duration::from_millis(ages.max().unwrap_or_default());
        (longest + TRIAL_MARGIN).min(MAX_TRIAL)
    }

    /// Notes that a task has outlasted a trial. The earlier crashes stay counted.
    fn pass_trial(&mut self, id: TaskId) {
        if let Some(task) = self.task_mut(id) {
            for mark in &mut task.crashes {
                mark.suspicion = Suspicion::Bystander;
            }
        }
        if let Some(&job) = self.job_ids.get(&id.step.job) {
            self.mark_dirty(job);
        }
    }

    /// Starts waiting suspects of a step on trial, and gives up those that are proven.
    pub(crate) fn try_suspects(
        &mut self,
        key: JobKey,
        id: StepId,
        pass: &mut PoolPass,
        now: Instant,
    ) {
        let job = &self.jobs[key];
        let Some(step) = job.step(id.occurrence, id.step) else { return };
        let gang = job.spec.steps[usize::from(id.step)].gang;
        let waiting = step.waiting.iter().map(|&index| TaskId { step: id, index });
        let marked = waiting.filter_map(|task| {
            let state = job.task(task)?.crash_state(gang);
            (state != CrashState::Clear).then_some((task, state))
        });
        let marked: Vec<_> = marked.collect();
        for (task, state) in marked {
            match state {
                CrashState::Clear => {}
                CrashState::Proven => {
                    self.give_up(key, task, now);
                    return;
                }
                CrashState::Suspect => _ = self.try_suspect(key, task, &pass.workers, now),
            }
        }
    }

    /// Starts a suspect on trial if a worker is ready for it, and otherwise keeps one for
    /// it. Returns whether it was started.
    pub(crate) fn try_suspect(
        &mut self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) -> bool {
        let spec = Arc::clone(&self.jobs[key].spec);
        let step = &spec.steps[usize::from(task.step.step)];
        let startable = self.may_start(key, task, step, now);
        if !startable || !self.team_allows(key, &step.need) || !self.start_window.allows(1) {
            return false;
        }
        let Some(worker) = self.trial_worker(key, task, workers, now) else { return false };
        if !self.is_ready_for_trial(key, task, worker, now) {
            return false;
        }
        let attempt = self.next_attempt(key, task);
        self.start(key, task, attempt, worker, now);
        let started = self.attempt_ids.get(&(task, attempt)).copied();
        self.workers[worker].trial = Some(Trial { task, attempt: started, since: now });
        started.is_some()
    }

    /// Returns the worker that is kept for a task's trial, or chooses one: that on which
    /// the least work would be lost. `None` if the pool holds as many trials as it may.
    fn trial_worker(
        &mut self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let trials = workers.iter().filter_map(|&each| Some((each, self.workers[each].trial?)));
        let trials: Vec<_> = trials.collect();
        let is_kept = |trial: &Trial| trial.task == task && trial.attempt.is_none();
        if let Some((worker, _)) = trials.iter().find(|(_, trial)| is_kept(trial)) {
            return Some(*worker);
        }
        if self.is_deferred(key, task, now) {
            return None;
        }
        if trials.len() >= (workers.len() / TRIAL_DIVISOR).max(1) {
            return None;
        }
        let request = self.placement_request(key, task)?;
        let reservation = request.spec.reservation();
        let suitable = workers.iter().copied().filter(|&each| {
            let worker = &self.workers[each];
            reservation.fits(&self.freeable(each)) && self.may_run(&request, each, worker, &[], now)
        });
        let chosen = suitable.min_by_key(|&each| self.work_at_risk(each))?;
        self.workers[chosen].trial = Some(Trial { task, attempt: None, since: now });
        Some(chosen)
    }

    /// Whether a trial is to wait because its pool is full.
    fn is_deferred(&self, key: JobKey, id: TaskId, now: Instant) -> bool {
        let job = &self.jobs[key];
        let waits_since = job.task(id).and_then(|task| task.not_before);
        let waited = waits_since.map(|since| now.saturating_duration_since(since));
        self.full_pools.contains(&job.pool) && waited.is_some_and(|waited| waited < MAX_DEFERRAL)
    }

    /// Returns how much is lost if a worker crashes.
    fn work_at_risk(&self, key: WorkerKey) -> usize {
        let attempts = self.workers[key].attempts.iter();
        attempts.map(|&each| if self.is_continuous(each) { CONTINUOUS_WEIGHT } else { 1 }).sum()
    }

    /// Whether a trial can start on the worker that is kept for it: the task fits, and
    /// nothing has started there for a moment.
    fn is_ready_for_trial(
        &self,
        key: JobKey,
        task: TaskId,
        worker: WorkerKey,
        now: Instant,
    ) -> bool {
        let Some(request) = self.placement_request(key, task) else { return false };
        let state = &self.workers[worker];
        let is_quiet = |&each: &AttemptKey| {
            let attempt = &self.attempts[each];
            let age = now.saturating_duration_since(attempt.started);
            attempt.phase != Phase::Starting && age >= QUIET_TIME
        };
        request.spec.reservation().fits(&state.free()) && state.attempts.iter().all(is_quiet)
    }

    fn placement_request(&self, key: JobKey, task: TaskId) -> Option<PlacementRequest<'_>> {
        let job = &self.jobs[key];
        Some(PlacementRequest {
            task,
            spec: job.spec.steps.get(usize::from(task.step.step))?,
            step: job.step(task.step.occurrence, task.step.step)?,
            advised: self.needs_adviser(key),
            rack: None,
        })
    }
}
