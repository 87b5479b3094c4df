//! Trials: how a task starts under which a worker has crashed.
//!
//! Load that this module handles: several tasks started just before a worker crashed, and
//! one of them crashes the next worker too. Each is started where nothing else has started
//! for a moment, so that a second crash has one possible cause, and where the least work
//! is lost by it. Few workers of a pool hold a trial at once, and they get nothing else
//! until it has lasted longer than the attempt that crashed.

use std::sync::Arc;

use vg_base::prelude::*;

use crate::jobs::attempt::{AttemptKey, Phase};
use crate::jobs::crashes::{CrashState, Suspicion};
use crate::jobs::job::{Job, JobKey};
use crate::placement::plan::PoolPass;
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StepId, TaskId};

/// A pool's usable workers divided by this number may hold trials at once, but at least
/// one.
const TRIAL_DIVISOR: usize = 4;
/// Time after the last start on a worker from which a crash is not due to that start.
const QUIET_TIME: Duration = Duration::from_millis(100);
/// Time by which a trial outlasts the attempts that crashed.
const TRIAL_MARGIN: Duration = Duration::from_millis(150);
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
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Trial {
    /// The job whose tasks are tried. They are tried together: if one of them crashes the
    /// worker, the job fails, whichever it is.
    pub(crate) job: JobId,
    /// The attempts, once they are started.
    pub(crate) attempts: Vec<AttemptKey>,
    /// When the worker was chosen, or the attempts were started.
    pub(crate) since: Instant,
}

impl Scheduler {
    /// Ends the trials that are passed, and those that can't go on.
    pub(crate) fn review_trials(&mut self, now: Instant) {
        let on_trial = self.workers.iter().filter(|(_, worker)| worker.trial.is_some());
        let keys: Vec<_> = on_trial.map(|(key, _)| key).collect();
        for key in keys {
            let Some(mut trial) = self.workers[key].trial.take() else { continue };
            if trial.attempts.is_empty() {
                self.workers[key].trial = self.is_wanted(&trial, key, now).then_some(trial);
                continue;
            }
            trial.attempts.retain(|&each| self.attempts.contains_key(each));
            if trial.attempts.iter().all(|&each| self.has_outlasted(each, now)) {
                trial.attempts.iter().for_each(|&each| self.pass_trial(each));
            } else {
                self.workers[key].trial = Some(trial);
            }
        }
    }

    /// Whether a worker is still to be kept for a trial.
    fn is_wanted(&self, trial: &Trial, key: WorkerKey, now: Instant) -> bool {
        let in_time = now.saturating_duration_since(trial.since) < MAX_RESERVATION;
        let job = self.job_ids.get(&trial.job).map(|&job| &self.jobs[job]);
        in_time && job.is_some_and(Job::is_open) && self.workers[key].is_usable(now)
    }

    /// Whether an attempt on trial has lasted longer than those that crashed.
    fn has_outlasted(&self, key: AttemptKey, now: Instant) -> bool {
        let attempt = &self.attempts[key];
        let task = self.job_of_attempt(attempt).and_then(|job| job.task(attempt.task));
        let ages = task.into_iter().flat_map(|task| &task.crashes).map(|mark| mark.age_ms);
        let longest = Duration::from_millis(ages.max().unwrap_or_default());
        let since = attempt.confirmed.filter(|_| attempt.phase != Phase::Unresolved);
        since.is_some_and(|since| {
            now.saturating_duration_since(since) >= (longest + TRIAL_MARGIN).min(MAX_TRIAL)
        })
    }

    /// Notes that the task of an attempt has outlasted a trial. The crashes stay counted.
    fn pass_trial(&mut self, key: AttemptKey) {
        let id = self.attempts[key].task;
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
        let spec = &job.spec.steps[usize::from(id.step)];
        let waiting = step.waiting.iter().map(|&index| TaskId { step: id, index });
        let marked = waiting.filter_map(|task| {
            let state = self.crash_state(job.task(task)?, spec, now);
            (state != CrashState::Clear).then_some((task, state))
        });
        let marked: Vec<_> = marked.collect();
        if let Some((deadly, _)) = marked.iter().find(|(_, state)| *state == CrashState::Proven) {
            self.give_up(key, *deadly, now);
            return;
        }
        for (task, state) in marked {
            if state == CrashState::Suspect {
                self.try_suspect(key, task, &pass.workers, now);
            }
        }
    }

    /// Starts a suspect on trial if a worker is ready for it, and otherwise keeps one for
    /// its job.
    pub(crate) fn try_suspect(
        &mut self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) {
        let spec = Arc::clone(&self.jobs[key].spec);
        let step = &spec.steps[usize::from(task.step.step)];
        let startable = self.may_start(key, task, step, now);
        if !startable || !self.team_allows(key, &step.need) || !self.start_window.allows(1) {
            return;
        }
        let Some(worker) = self.trial_worker(key, task, workers, now) else { return };
        if !self.is_ready_for_trial(key, task, worker, now) {
            return;
        }
        let attempt = self.next_attempt(key, task);
        self.start(key, task, attempt, worker, now);
        let started = self.attempt_ids.get(&(task, attempt)).copied();
        if let Some(trial) = &mut self.workers[worker].trial {
            trial.attempts.extend(started);
            trial.since = now;
        }
    }

    /// Returns the worker for a task's trial: that which is kept for its job, that on which
    /// tasks of its job have just been started on trial, or one that is chosen now: that on
    /// which the least work would be lost. `None` if the pool holds as many trials as it may.
    fn trial_worker(
        &mut self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let of_job = |trial: &Trial| {
            trial.job == task.step.job && (trial.attempts.is_empty() || trial.since == now)
        };
        let trials = workers.iter().filter(|&&each| self.workers[each].trial.is_some());
        let count = trials.clone().count();
        let mut kept =
            trials.filter(|&&each| self.workers[each].trial.as_ref().is_some_and(of_job));
        if let Some(&worker) = kept.next() {
            return Some(worker);
        }
        if count >= (workers.len() / TRIAL_DIVISOR).max(1) || self.is_deferred(key, task, now) {
            return None;
        }
        let request = self.placement_request(key, task, now)?;
        let reservation = request.spec.reservation();
        let suitable = workers.iter().copied().filter(|&each| {
            let worker = &self.workers[each];
            worker.trial.is_none()
                && reservation.fits(&self.freeable(each))
                && self.meets_conditions(&request, each, worker, &[], now)
        });
        let chosen = suitable.min_by_key(|&each| self.work_at_risk(each))?;
        let trial = Trial { job: task.step.job, attempts: Vec::new(), since: now };
        self.workers[chosen].trial = Some(trial);
        Some(chosen)
    }

    /// Whether a trial is to wait because its pool is full.
    fn is_deferred(&self, key: JobKey, id: TaskId, now: Instant) -> bool {
        let job = &self.jobs[key];
        let waits_since = job.task(id).and_then(|task| task.not_before);
        let waited = waits_since.map(|since| now.saturating_duration_since(since));
        self.full_pools.contains(job.pool()) && waited.is_some_and(|waited| waited < MAX_DEFERRAL)
    }

    /// Returns how much is lost if a worker crashes.
    fn work_at_risk(&self, key: WorkerKey) -> usize {
        let attempts = self.workers[key].attempts.iter();
        attempts.map(|&each| if self.is_continuous(each) { CONTINUOUS_WEIGHT } else { 1 }).sum()
    }

    /// Whether a trial can start on the worker that is kept for it: the task fits and may
    /// run there, and nothing but tasks of its trial has started there for a moment.
    fn is_ready_for_trial(
        &self,
        key: JobKey,
        task: TaskId,
        worker: WorkerKey,
        now: Instant,
    ) -> bool {
        let Some(request) = self.placement_request(key, task, now) else { return false };
        let state = &self.workers[worker];
        let on_trial = state.trial.iter().flat_map(|trial| &trial.attempts);
        let on_trial: Vec<_> = on_trial.collect();
        let is_quiet = |each: &AttemptKey| {
            let attempt = &self.attempts[*each];
            let age = now.saturating_duration_since(attempt.started);
            on_trial.contains(&each) || (!attempt.is_unanswered() && age >= QUIET_TIME)
        };
        state.free().is_some_and(|free| request.spec.reservation().fits(&free))
            && state.attempts.iter().all(is_quiet)
            && self.meets_conditions(&request, worker, state, &[], now)
    }
}
