//! Trials: how a task starts under which a worker has crashed.
//!
//! Load that this module handles: several tasks started just before a worker crashed, and
//! one of them crashes the next worker too. Each is started where nothing else has started
//! for a moment, so that a second crash has one possible cause, and where the least work
//! is lost by it. A worker on trial gets nothing else until the attempt has lasted longer
//! than the one that crashed. Few workers of a busy pool hold a trial at once, and each idle
//! one up to half of the pool.
//!
//! One crash of a well filled worker makes dozens of suspects. They would wait for each
//! other in a pool with free capacity, so that a suspect that has waited for
//! [`MAX_LONE_WAIT`] shares a trial with all others that have: its wait does not depend on
//! their number. A crash there is blamed on those that are as old as they were at their
//! first crash, and proves nothing unless this is one task alone.

use std::collections::HashMap;
use std::sync::Arc;

use vg_base::prelude::*;

use crate::jobs::attempt::{AttemptKey, Phase};
use crate::jobs::crashes::CrashState;
use crate::jobs::job::{Job, JobKey};
use crate::placement::plan::PoolPass;
use crate::workers::worker::WorkerKey;
use crate::{Scheduler, StepId, Suspicion, TaskId};

/// A pool's usable workers divided by this number may hold trials of one job at once, but at
/// least one. Idle workers hold more.
const TRIAL_DIVISOR: usize = 4;
/// Time after the last start on a worker from which a crash is not due to that start.
const QUIET_TIME: Duration = Duration::from_millis(100);
/// Time by which a trial outlasts the attempts that crashed.
const TRIAL_MARGIN: Duration = Duration::from_millis(150);
/// Time for which a suspect waits to be tried without those of other jobs.
const MAX_LONE_WAIT: Duration = Duration::from_secs(1);
/// The same for a task that was blamed more often than [`FEW_BLAMES`]: alone it is found out.
const MAX_BLAMED_WAIT: Duration = Duration::from_secs(2);
const FEW_BLAMES: usize = 2;
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

/// Who takes part in a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TrialKind {
    /// Tasks of one job. They are tried together: if one of them crashes the worker, the
    /// job fails, whichever it is.
    Lone(JobId),
    /// Tasks that have waited for long, at any time while there is room.
    Shared,
}

/// A worker that is kept for a trial, or holds one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Trial {
    pub(crate) kind: TrialKind,
    /// The attempts, once they are started.
    pub(crate) attempts: Vec<AttemptKey>,
    /// When the worker was chosen, or the last attempt was started.
    pub(crate) since: Instant,
}

impl Trial {
    fn new(kind: TrialKind, since: Instant) -> Trial {
        Trial { kind, attempts: Vec::new(), since }
    }

    fn is_shared(&self) -> bool {
        self.kind == TrialKind::Shared
    }

    /// Whether another task of a job can start in it.
    fn is_open_to(&self, job: JobId, now: Instant) -> bool {
        self.kind == TrialKind::Lone(job) && (self.attempts.is_empty() || self.since == now)
    }
}

/// Usable workers of a pool, and those on trial.
#[derive(Debug, Clone, Copy)]
struct TrialCounts {
    workers: usize,
    lone: usize,
    shared: usize,
}

impl TrialCounts {
    /// Returns how many workers may hold trials of one job, if the next one is idle or not.
    fn max_lone(&self, is_idle: bool) -> usize {
        let most = if is_idle { self.workers / 2 } else { self.workers / TRIAL_DIVISOR };
        most.max(1)
    }

    /// Returns how many workers may hold shared trials: together with the others half of the
    /// pool. If these are full, half of its capacity is in use.
    fn max_shared(&self) -> usize {
        (self.workers / 2).saturating_sub(self.lone).max(1)
    }
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
            let outlasted = |each: &mut AttemptKey| self.has_outlasted(*each, now);
            let passed: Vec<_> = match trial.kind {
                TrialKind::Shared => trial.attempts.extract_if(.., outlasted).collect(),
                TrialKind::Lone(_) if trial.attempts.iter_mut().all(outlasted) => {
                    std::mem::take(&mut trial.attempts)
                }
                TrialKind::Lone(_) => Vec::new(),
            };
            passed.into_iter().for_each(|each| self.pass_trial(each));
            if !trial.attempts.is_empty() {
                self.workers[key].trial = Some(trial);
            }
        }
    }

    /// Whether a worker is still to be kept for a trial.
    fn is_wanted(&self, trial: &Trial, key: WorkerKey, now: Instant) -> bool {
        let in_time = now.saturating_duration_since(trial.since) < MAX_RESERVATION;
        let is_open = match trial.kind {
            TrialKind::Lone(job) => {
                let job = self.job_ids.get(&job).map(|&job| &self.jobs[job]);
                job.is_some_and(Job::is_open)
            }
            TrialKind::Shared => true,
        };
        in_time && is_open && self.workers[key].is_usable(now)
    }

    /// Whether an attempt on trial has lasted longer than those that crashed, as far as its
    /// worker has answered.
    fn has_outlasted(&self, key: AttemptKey, now: Instant) -> bool {
        let worker = &self.workers[self.attempts[key].worker];
        let now = worker.unreachable_since.unwrap_or(now);
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
        if let Some(state) = self.jobs[key].task_mut(task) {
            state.trial_wanted.get_or_insert(now);
        }
        let Some(worker) = self.trial_worker(key, task, workers, now) else { return };
        if !self.is_ready_for_trial(key, task, worker, now) {
            if step.continuous {
                self.preempt_on(worker, step, now);
            }
            return;
        }
        let attempt = self.next_attempt(key, task);
        self.start(key, task, attempt, worker, now);
        if let Some(state) = self.jobs[key].task_mut(task) {
            state.trial_wanted = None;
        }
        let started = self.attempt_ids.get(&(task, attempt)).copied();
        if let Some(trial) = &mut self.workers[worker].trial {
            trial.attempts.extend(started);
            trial.since = now;
        }
    }

    /// Returns the worker for a task's trial: that on which its job is tried, one whose trial
    /// it may share, or one that is chosen now. `None` if the pool holds as many trials as
    /// it may.
    fn trial_worker(
        &mut self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let job = task.step.job;
        let is_own = |each: &&WorkerKey| {
            let trial = self.workers[**each].trial.as_ref();
            trial.is_some_and(|trial| trial.is_open_to(job, now))
        };
        if let Some(&worker) = workers.iter().find(is_own) {
            return Some(worker);
        }
        let may_share = self.may_share_trial(key, task, now);
        if may_share && let Some(worker) = self.joinable_trial(key, task, workers, now) {
            return Some(worker);
        }
        let chosen = self.choose_for_trial(key, task, workers, now)?;
        let counts = self.count_trials(workers);
        let is_idle = self.workers[chosen].attempts.is_empty();
        let kind = if may_share && counts.shared < counts.max_shared() {
            TrialKind::Shared
        } else if counts.lone < counts.max_lone(is_idle) && !self.is_deferred(key, task, now) {
            TrialKind::Lone(job)
        } else {
            return None;
        };
        self.workers[chosen].trial = Some(Trial::new(kind, now));
        Some(chosen)
    }

    /// Returns a worker with a shared trial in which a task can start now.
    fn joinable_trial(
        &self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let is_joinable = |each: &&WorkerKey| {
            self.workers[**each].trial.as_ref().is_some_and(Trial::is_shared)
                && self.is_ready_for_trial(key, task, **each, now)
        };
        workers.iter().find(is_joinable).copied()
    }

    fn count_trials(&self, workers: &[WorkerKey]) -> TrialCounts {
        let on_trial = workers.iter().filter_map(|&each| self.workers[each].trial.as_ref());
        let (shared, lone): (Vec<_>, Vec<_>) = on_trial.partition(|trial| trial.is_shared());
        TrialCounts { workers: workers.len(), lone: lone.len(), shared: shared.len() }
    }

    /// Returns the worker on which a trial of a task loses the least work, if it crashes:
    /// one that has not crashed under the task, if there is one.
    fn choose_for_trial(
        &self,
        key: JobKey,
        task: TaskId,
        workers: &[WorkerKey],
        now: Instant,
    ) -> Option<WorkerKey> {
        let request = self.placement_request(key, task, now)?;
        let reservation = request.spec.reservation();
        let crashes = &request.step.tasks[task.index as usize].crashes;
        let has_crashed = |each: WorkerKey| {
            let home = self.workers[each].home();
            crashes.iter().any(|mark| mark.home == home)
        };
        let suitable = workers.iter().copied().filter(|&each| {
            let worker = &self.workers[each];
            worker.trial.is_none()
                && reservation.fits(&self.freeable(each))
                && self.meets_conditions(&request, each, worker, &[], now)
        });
        suitable.min_by_key(|&each| (has_crashed(each), self.work_at_risk(each)))
    }

    /// Whether a task has waited for so long that it may be tried together with others.
    fn may_share_trial(&self, key: JobKey, id: TaskId, now: Instant) -> bool {
        let Some(task) = self.jobs[key].task(id) else { return false };
        let since = task.trial_wanted.unwrap_or(now);
        let blamed = task.crashes.iter().filter(|mark| mark.suspicion != Suspicion::Bystander);
        let limit = if blamed.count() <= FEW_BLAMES { MAX_LONE_WAIT } else { MAX_BLAMED_WAIT };
        now.saturating_duration_since(since) >= limit
    }

    /// Returns the number of jobs of each pool that wait for a trial, and of workers on trial:
    /// each takes a worker for itself.
    pub(crate) fn trial_demand(&self, now: Instant) -> HashMap<PoolId, usize> {
        let mut demand: HashMap<PoolId, usize> = HashMap::new();
        for worker in self.workers.values().filter(|worker| worker.trial.is_some()) {
            *demand.entry(worker.incarnation.pool.clone()).or_default() += 1;
        }
        for job in self.jobs.values().filter(|job| job.has_crashes && job.is_open()) {
            let waits_for_trial = job.ready_steps().any(|ready| {
                let mut waiting = ready.step.waiting.iter();
                waiting.any(|&index| {
                    let task = &ready.step.tasks[index as usize];
                    !task.crashes.is_empty()
                        && self.crash_state(task, ready.spec, now) == CrashState::Suspect
                })
            });
            if waits_for_trial {
                *demand.entry(job.pool().clone()).or_default() += 1;
            }
        }
        demand
    }

    /// Whether a trial is to wait because its pool is full. A continuous task is not: others
    /// give way to it.
    fn is_deferred(&self, key: JobKey, id: TaskId, now: Instant) -> bool {
        let job = &self.jobs[key];
        if self.spec_of(id).is_some_and(|step| step.continuous) {
            return false;
        }
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
