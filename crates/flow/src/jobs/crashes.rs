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

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::jobs::attempt::{Attempt, AttemptKey};
use crate::jobs::job::JobKey;
use crate::jobs::occurrence::Task;
use crate::jobs::trials::TrialKind;
use crate::workers::worker::WorkerKey;
use crate::{AttemptNumber, JobOutcome, PollFailure, Scheduler, StepSpec, TaskId};

/// Maximum age of the youngest attempt on a crashed worker at which the crash is blamed
/// on the youngest ones.
const RECENT_AGE: Duration = Duration::from_secs(1);
/// Attempts that started within this time before the youngest one count as young too:
/// start commands and the crash reach this host with different delays.
const RECENT_MARGIN: Duration = Duration::from_millis(100);
/// Crashes from which a task of a gang is given up: its members start together, so that
/// none can be tried alone.
const MAX_GANG_CRASHES: usize = 3;
/// Crashes from which a task is given up although no trial has proved anything.
const MAX_CRASHES: usize = 5;
/// A task is not given up for so many crashes if its pool had a large part of that number for
/// other causes: this is the inverse of the part.
const CHANCE_FACTOR: usize = 2;
/// Crashes that have to be certain for a task to be given up.
const MIN_CRASHES: usize = 2;
/// Crashes at the same age from which a continuous task is given up.
const MIN_REPEATED: usize = 3;
/// Ages at two crashes are the same if they differ by no more than this, or by
/// [`AGE_PART`] of the larger one: crashes are seen with different delays.
const AGE_MARGIN: Duration = Duration::from_millis(150);
/// Part of an age by which the age at the next crash may differ.
const AGE_PART: u64 = 4;
/// Age of an attempt of a continuous task up to which a crash is proof.
const IMMEDIATE_AGE: Duration = Duration::from_millis(100);
/// Time after the start of a continuous task from which a crash says nothing about it, and
/// the crashes before are forgotten.
const SOUND_TIME: Duration = Duration::from_secs(5);
/// Time for which a task that is to be given up waits until its crashes are certain, from
/// when its last attempt is known to have ended. Then it is tried again.
const MAX_DOUBT: Duration = Duration::from_secs(2);

/// Time after a crash under a task for which its pool is expected to have more of them.
const CRASH_MEMORY: Duration = Duration::from_secs(10);
/// Time between two crashes within which they may have one cause, as those of a rack have.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(300);

/// How much a crash says about a task that was on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Suspicion {
    /// Others had started later.
    Bystander,
    /// It was among those that had started last.
    Recent,
    /// It was on trial: nothing else had started there for a while.
    Trial,
}

/// A worker that seems to have crashed under an attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The worker's machine, or the worker if that is not known.
    pub home: SmolStr,
    /// Wall time of the start of the worker's incarnation, in milliseconds since 1970.
    pub start_ms: u64,
    /// Whether the worker had confirmed the attempt, which may never have started otherwise.
    pub confirmed: bool,
    /// Time from the start command until the crash was seen, in milliseconds. An attempt
    /// that an earlier leader started is older than that.
    pub age_ms: u64,
    /// What the crash says about the task.
    pub suspicion: Suspicion,
    /// Crashes for other causes that the pool had shortly before, one after the other.
    #[serde(default)]
    pub chances: u32,
}

/// Crashes in a pool that follow each other within [`CRASH_MEMORY`]. Those within
/// [`COMMON_CAUSE_TIME`] are one event.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashSeries {
    last: Instant,
    events: usize,
    /// Workers that crashed in the last event.
    workers: usize,
}

impl CrashSeries {
    fn new(at: Instant) -> CrashSeries {
        CrashSeries { last: at, events: 1, workers: 1 }
    }

    fn add(&mut self, at: Instant) {
        let pause = at.saturating_duration_since(self.last);
        if pause >= CRASH_MEMORY {
            *self = CrashSeries::new(at);
        } else if pause >= COMMON_CAUSE_TIME {
            *self = CrashSeries { last: at, events: self.events + 1, workers: 1 };
        } else {
            *self = CrashSeries { last: at, workers: self.workers + 1, ..*self };
        }
    }

    /// Adds a crash to the series of a pool.
    fn note(all: &mut HashMap<PoolId, CrashSeries>, pool: PoolId, at: Instant) {
        let series = all.entry(pool);
        series.and_modify(|series| series.add(at)).or_insert_with(|| CrashSeries::new(at));
    }

    /// Whether the next task may crash its worker too: the crashes came one after another,
    /// or of one worker alone.
    fn goes_on(&self, now: Instant) -> bool {
        self.is_recent(now) && (self.events > 1 || self.workers == 1)
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < CRASH_MEMORY
    }
}

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

impl CrashMark {
    /// Whether the attempt has run: nothing else had started there if it was a trial.
    fn has_run(&self) -> bool {
        self.confirmed || self.suspicion == Suspicion::Trial
    }

    /// Whether both crashes came as long after the start: a task that crashes its workers
    /// does it at the same point each time, and chance does not.
    fn is_as_old_as(&self, other: &CrashMark) -> bool {
        is_same_age(self.age_ms, other.age_ms)
    }

    fn is_immediate(&self) -> bool {
        Duration::from_millis(self.age_ms) <= IMMEDIATE_AGE
    }
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

fn is_same_age(a_ms: u64, b_ms: u64) -> bool {
    let margin = (AGE_MARGIN.as_millis() as u64).max(a_ms.max(b_ms) / AGE_PART);
    a_ms.abs_diff(b_ms) <= margin
}

/// Whether these crashes prove that a task of a step causes them: one on trial, and another
/// on a second machine that came as long after the start. Where workers crash for other
/// causes too, one more.
fn is_proof<'a>(marks: impl Iterator<Item = &'a CrashMark> + Clone, spec: &StepSpec) -> bool {
    let blamed = marks.filter(|mark| mark.suspicion != Suspicion::Bystander);
    if spec.gang {
        let recent = blamed.filter(|mark| mark.suspicion == Suspicion::Recent);
        return recent.count() >= MAX_GANG_CRASHES;
    }
    let counted = blamed.filter(|mark| !spec.continuous || mark.is_immediate());
    let mut trials = counted.clone().filter(|mark| mark.suspicion == Suspicion::Trial);
    trials.any(|trial| {
        // A trial that was not confirmed may never have begun: the worker had crashed before.
        let is_known = |other: &&CrashMark| trial.confirmed || other.suspicion == Suspicion::Trial;
        let others = counted.clone().filter(is_known);
        let same = others.filter(|other| other.home != trial.home && other.is_as_old_as(trial));
        same.count() >= if trial.chances > 1 { 2 } else { 1 }
    })
}

/// Whether a task has so many crashes that it is given up although no trial has proved
/// anything: more than chance explains, and under a continuous task several at one age.
fn is_excess(crashes: &[CrashMark], spec: &StepSpec) -> bool {
    let chances = crashes.last().map_or(0, |mark| mark.chances as usize);
    crashes.len() >= MAX_CRASHES
        && crashes.len() > chances * CHANCE_FACTOR
        && (!spec.continuous || is_repeated(crashes.iter()))
}

/// Whether several crashes came as long after the start.
fn is_repeated<'a>(marks: impl Iterator<Item = &'a CrashMark> + Clone) -> bool {
    let blamed = marks.filter(|mark| mark.suspicion != Suspicion::Bystander);
    blamed.clone().any(|mark| {
        let same = blamed.clone().filter(|other| other.is_as_old_as(mark));
        same.count() >= MIN_REPEATED
    })
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
        let series = self.chance_crashes.get(pool).filter(|series| series.is_recent(now));
        series.map_or(0, |series| series.events as u32)
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
