//! Tasks under which workers crash: on which task a crash is blamed, and when a task is
//! given up.
//!
//! Load that this module handles: a few tasks of a class crash each worker that starts
//! them, within milliseconds. A worker runs some twenty other tasks then, of which none
//! has to do with it. Each crash takes the worker away for seconds and loses the work
//! of the others, so that such a task must be found with few crashes; a task that is
//! blamed wrongly can be done and must not be given up.
//!
//! A crash is blamed on the attempts that had started last. Such a task is a suspect: its
//! next attempt is a trial (`trials.rs`), after which a second crash is proof. Tasks that
//! had run for longer become suspects with their second crash only.
//!
//! A continuous task can't be left undone, so that crashes weigh less under it: two are
//! proof only just after a start and on two machines, as chance rarely has them. Others
//! are counted until it has run for a while.

use vg_base::prelude::*;

use crate::jobs::attempt::{Attempt, AttemptKey};
use crate::jobs::crash_mark::{is_excess, is_proof, is_same_age};
use crate::jobs::crash_series::CrashSeries;
use crate::jobs::job::JobKey;
use crate::jobs::occurrence::Task;
use crate::jobs::trials::TrialKind;
use crate::workers::worker::WorkerKey;
use crate::{
    AttemptNumber, CrashMark, JobOutcome, PollFailure, Scheduler, StepSpec, Suspicion, TaskId,
};

/// Maximum age of the youngest attempt on a crashed worker at which the crash is blamed
/// on the youngest ones.
const RECENT_AGE: Duration = Duration::from_secs(1);
/// Attempts that started within this time before the youngest one count as young too:
/// start commands and the crash reach this host with different delays.
const RECENT_MARGIN: Duration = Duration::from_millis(100);
/// Crashes that have to be certain for a task to be given up.
const MIN_CRASHES: usize = 2;
/// Time after the start of a continuous task from which a crash says nothing about it, and
/// the crashes before are forgotten.
const SOUND_TIME: Duration = Duration::from_secs(5);
/// Time for which a task that is to be given up waits until its crashes are certain, from
/// when its last attempt is known to have ended. Then it is tried again.
const MAX_DOUBT: Duration = Duration::from_secs(2);

/// What may be done with a task, by the crashes under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashState {
    /// It may start like others.
    Clear,
    /// It may start on trial.
    Suspect,
    /// It is given up once its workers are known to have crashed.
    Doomed,
    /// It is given up once its attempts are known to have ended.
    Proven,
}

/// A task that is given up because workers crash under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeadlyTask {
    /// The task.
    pub task: TaskId,
    /// Number of workers that crashed under it.
    pub crashes: usize,
}

impl Task {
    /// Drops the mark of an attempt whose worker has not crashed. Returns whether there
    /// was one.
    pub(crate) fn withdraw_crash(&mut self, attempt: AttemptNumber) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|mark| mark.attempt != attempt);
        self.crashes.len() < before
    }

    /// Drops all marks, unless there is one of this attempt. Returns whether there were any.
    fn forget_crashes(&mut self, attempt: AttemptNumber) -> bool {
        let crashed = self.crashes.iter().any(|mark| mark.attempt == attempt);
        !crashed && !std::mem::take(&mut self.crashes).is_empty()
    }
}

impl Scheduler {
    /// Returns the tasks that were given up since the last call because workers crash
    /// under them.
    pub fn take_deadly_tasks(&mut self) -> Vec<DeadlyTask> {
        std::mem::take(&mut self.deadly)
    }

    /// Returns what may be done with a task by the crashes under it.
    pub(crate) fn crash_state(&self, task: &Task, spec: &StepSpec, now: Instant) -> CrashState {
        if task.crashes.is_empty() {
            return CrashState::Clear;
        }
        let ran = || task.crashes.iter().filter(|mark| mark.has_run());
        let certain = || ran().filter(|mark| self.is_certain(mark));
        let many = is_excess(&task.crashes, spec);
        if is_proof(certain(), spec) || (many && certain().count() >= MIN_CRASHES) {
            return CrashState::Proven;
        }
        let is_lost = task.not_before.is_some_and(|at| now < at + MAX_DOUBT);
        let in_doubt = is_lost || !task.attempts.is_empty();
        if in_doubt && (many || is_proof(ran(), spec)) {
            return CrashState::Doomed;
        }
        let blamed = task.crashes.iter().any(|mark| mark.suspicion != Suspicion::Bystander);
        match !spec.gang && (blamed || task.crashes.len() >= MIN_CRASHES) {
            true => CrashState::Suspect,
            false => CrashState::Clear,
        }
    }

    /// Returns the same for a task that may be unknown.
    pub(crate) fn crash_state_of(&self, id: TaskId, now: Instant) -> CrashState {
        let task = self.job_of(id).and_then(|job| job.task(id));
        let known = task.zip(self.spec_of(id));
        known.map_or(CrashState::Clear, |(task, spec)| self.crash_state(task, spec, now))
    }

    /// Whether the worker of a mark has crashed: a later one has been seen in its place.
    fn is_certain(&self, mark: &CrashMark) -> bool {
        self.latest_starts.get(&mark.home).is_some_and(|&start_ms| start_ms > mark.start_ms)
    }

    /// Notes the start of a worker.
    pub(crate) fn note_start(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let start_ms = worker.incarnation.start_ms;
        let latest = self.latest_starts.entry(worker.home()).or_default();
        *latest = start_ms.max(*latest);
    }

    /// Notes on the tasks of a worker that it seems to have crashed, as its connection
    /// has broken. The marks are withdrawn if it answers again.
    pub(crate) fn note_lost_worker(&mut self, key: WorkerKey, failure: PollFailure, now: Instant) {
        if failure == PollFailure::Broken && !self.ends_as_planned(key) {
            self.blame_crash(key, now);
        }
    }

    /// Notes on the tasks of a worker that it has crashed, as it has a later incarnation.
    /// When it crashed is not known unless a connection broke.
    pub(crate) fn note_restarted_worker(&mut self, key: WorkerKey, now: Instant) {
        if self.workers[key].blamed || self.ends_as_planned(key) {
            return;
        }
        if self.workers[key].unreachable_since.is_none() {
            self.blame_crash(key, now);
            return;
        }
        let since = self.workers[key].unreachable_since.unwrap_or(now);
        let trial = self.workers[key].trial.take();
        let tried = trial.map(|trial| trial.attempts).unwrap_or_default();
        for attempt in self.workers[key].attempts.clone() {
            // Other marks would never show that a continuous task is at fault.
            let continuous = self.is_continuous(attempt);
            let is_trial = continuous && tried.contains(&attempt);
            let suspicion = if is_trial { Suspicion::Trial } else { Suspicion::Bystander };
            self.add_mark(attempt, suspicion, since);
        }
    }

    /// Whether the end of a worker was ordered or announced.
    fn ends_as_planned(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        let commands = &self.machines.commands;
        let commanded =
            worker.machine.as_ref().is_some_and(|machine| commands.contains_key(machine));
        worker.leaving || worker.draining || commanded
    }

    /// Blames a crash at `now` on the attempt on trial, if there is one, and otherwise on
    /// the attempts that started last.
    fn blame_crash(&mut self, key: WorkerKey, now: Instant) {
        self.workers[key].blamed = true;
        if self.blame_trial(key, now) {
            self.note_crash(key, now);
            return;
        }
        let attempts = self.workers[key].attempts.clone();
        let recent = self.recent_attempts(&attempts, now);
        match recent.is_empty() {
            true => self.note_chance_crash(key, now),
            false => self.note_crash(key, now),
        }
        for attempt in attempts {
            let is_recent = recent.contains(&attempt);
            let suspicion = if is_recent { Suspicion::Recent } else { Suspicion::Bystander };
            self.add_mark(attempt, suspicion, now);
        }
    }

    /// Blames a crash at `now` on the attempts on trial. Returns whether there were any.
    fn blame_trial(&mut self, key: WorkerKey, now: Instant) -> bool {
        let Some(mut trial) = self.workers[key].trial.take() else { return false };
        trial.attempts.retain(|&attempt| self.attempts.contains_key(attempt));
        let is_lone = matches!(trial.kind, TrialKind::Lone(_));
        let tried = trial.attempts.into_iter();
        let (repeated, others): (Vec<_>, Vec<_>) =
            tried.partition(|&each| self.repeats_a_crash(each, now));
        if repeated.is_empty() {
            self.note_chance_crash(key, now);
        }
        let is_alone = is_lone || repeated.len() == 1;
        let of_repeated = if is_alone { Suspicion::Trial } else { Suspicion::Recent };
        let of_others = if is_lone { Suspicion::Trial } else { Suspicion::Bystander };
        let has_blamed = !repeated.is_empty() || !others.is_empty();
        repeated.into_iter().for_each(|each| self.add_mark(each, of_repeated, now));
        others.into_iter().for_each(|each| self.add_mark(each, of_others, now));
        has_blamed
    }

    /// Whether an attempt whose worker crashes at `now` is as old as an earlier one of its
    /// task was when its worker crashed.
    fn repeats_a_crash(&self, key: AttemptKey, now: Instant) -> bool {
        let attempt = &self.attempts[key];
        let age_ms = now.saturating_duration_since(attempt.started).as_millis() as u64;
        let task = self.job_of_attempt(attempt).and_then(|job| job.task(attempt.task));
        let mut marks = task.into_iter().flat_map(|task| &task.crashes);
        marks.any(|mark| is_same_age(mark.age_ms, age_ms))
    }

    /// Returns those of a crashed worker's attempts that had started last, if that was a
    /// short time before. Those of an earlier leader had started before all others, so
    /// that they are never among them.
    fn recent_attempts(&self, attempts: &[AttemptKey], now: Instant) -> Vec<AttemptKey> {
        let age = |&each: &AttemptKey| Some((each, self.attempts[each].known_age(now)?));
        let ages: Vec<_> = attempts.iter().filter_map(age).collect();
        let youngest = ages.iter().map(|&(_, age)| age).min();
        let Some(youngest) = youngest.filter(|&age| age <= RECENT_AGE) else {
            return Vec::new();
        };
        let oldest = youngest + RECENT_MARGIN.max(youngest);
        ages.into_iter().filter(|&(_, age)| age <= oldest).map(|(each, _)| each).collect()
    }

    fn add_mark(&mut self, key: AttemptKey, suspicion: Suspicion, at: Instant) {
        let attempt = &self.attempts[key];
        let (id, number) = (attempt.task, attempt.attempt);
        let worker = &self.workers[attempt.worker];
        let (home, start_ms) = (worker.home(), worker.incarnation.start_ms);
        let chances = self.chance_crashes(&worker.incarnation.pool, at);
        let confirmed = attempt.confirmed.is_some();
        let age_ms = at.saturating_duration_since(attempt.started).as_millis() as u64;
        // A continuous task has run for long on most workers that crash.
        let continuous = self.spec_of(id).is_some_and(|spec| spec.continuous);
        let is_young = attempt.known_age(at).is_some_and(|age| age < SOUND_TIME);
        if continuous && suspicion == Suspicion::Bystander && !is_young {
            return;
        }
        let Some(task) = self.task_mut(id).filter(|task| !task.done) else { return };
        let mark =
            CrashMark { attempt: number, home, start_ms, confirmed, age_ms, suspicion, chances };
        task.crashes.push(mark);
        if let Some(&job) = self.job_ids.get(&id.step.job) {
            self.jobs[job].has_crashes = true;
        }
        // Bystanders' marks become durable with the next record of their job.
        if suspicion != Suspicion::Bystander
            && let Some(&job) = self.job_ids.get(&id.step.job)
        {
            self.mark_dirty(job);
        }
    }

    /// Notes that a worker has crashed for another cause than a task: nothing had started
    /// there for a while, or what was on trial was of another age than at its crashes.
    fn note_chance_crash(&mut self, key: WorkerKey, at: Instant) {
        let pool = self.workers[key].incarnation.pool.clone();
        CrashSeries::note(&mut self.chance_crashes, pool, at);
    }

    /// Returns how often workers of a pool have crashed for other causes than tasks lately.
    fn chance_crashes(&self, pool: &PoolId, now: Instant) -> u32 {
        self.chance_crashes.get(pool).map_or(0, |series| series.recent_events(now) as u32)
    }

    fn note_crash(&mut self, key: WorkerKey, at: Instant) {
        self.counts.crashes += 1;
        let pool = self.workers[key].incarnation.pool.clone();
        CrashSeries::note(&mut self.crash_series, pool, at);
    }

    /// Whether the next task of a pool may crash its worker, as others did lately.
    pub(crate) fn expects_crashes(&self, pool: &PoolId, now: Instant) -> bool {
        self.crash_series.get(pool).is_some_and(|series| series.goes_on(now))
    }

    /// Withdraws the marks of a worker that answers again.
    pub(crate) fn withdraw_crash(&mut self, key: WorkerKey) {
        if !std::mem::take(&mut self.workers[key].blamed) {
            return;
        }
        for attempt in self.workers[key].attempts.clone() {
            let (task, number) = (self.attempts[attempt].task, self.attempts[attempt].attempt);
            self.withdraw_mark(task, number);
        }
    }

    /// Withdraws the mark of one attempt: its worker has reported it.
    pub(crate) fn withdraw_mark(&mut self, id: TaskId, attempt: AttemptNumber) {
        let withdrawn = self.task_mut(id).is_some_and(|task| task.withdraw_crash(attempt));
        if withdrawn && let Some(&job) = self.job_ids.get(&id.step.job) {
            self.mark_dirty(job);
        }
    }

    /// Drops the marks of a continuous task if an attempt that has ended had run for a while.
    pub(crate) fn forget_crashes(&mut self, job: JobKey, ended: &Attempt, now: Instant) {
        let until = self.workers[ended.worker].unreachable_since.unwrap_or(now);
        let ran = ended.confirmed.map(|since| until.saturating_duration_since(since));
        let continuous = self.spec_of(ended.task).is_some_and(|spec| spec.continuous);
        if !continuous || ran.is_none_or(|ran| ran < SOUND_TIME) {
            return;
        }
        if self.task_mut(ended.task).is_some_and(|task| task.forget_crashes(ended.attempt)) {
            self.mark_dirty(job);
        }
    }

    /// Fails the job of a task under which workers crash. Its other attempts are stopped.
    pub(crate) fn give_up(&mut self, key: JobKey, task: TaskId, now: Instant) {
        let crashes = self.jobs[key].task(task).map_or(0, |task| task.crashes.len());
        self.counts.deadly += 1;
        self.deadly.push(DeadlyTask { task, crashes });
        self.end_job(key, JobOutcome::Failed);
        self.stop_job_attempts(key, now);
    }
}
