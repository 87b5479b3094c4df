//! Answers of workers to start and stop commands.

use derive_more::Display;
use vg_base::prelude::*;

use crate::jobs::attempt::{AttemptKey, Phase};
use crate::workers::proof::Proof;
use crate::{AttemptNumber, JobOutcome, Scheduler, StopReason, TaskId, WorkerIncarnation};

/// Backoff of a worker that refused a start because it is unhealthy, that could
/// not be reached, or that has restarted.
const UNHEALTHY_BACKOFF: Duration = Duration::from_millis(700);
/// Backoff of a worker that reported insufficient capacity or did not answer a
/// start. Attempts that it is stopping still occupy capacity there.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(60);
/// Delay before a task is started again whose start command was refused as
/// malformed.
const MALFORMED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Number of failed attempts that are kept of a continuous task.
const MAX_KEPT_FAILURES: usize = 16;

/// Result of a start command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StartAnswer {
    /// The worker runs the attempt.
    #[display("started")]
    Started,
    /// The worker has shown that the command had no effect.
    #[display("refused={_0}")]
    Refused(RefusalReason),
    /// The command was not sent.
    #[display("not-sent")]
    NotSent,
    /// No answer was received: the attempt may have started, or may still
    /// start.
    #[display("unanswered")]
    Unanswered,
}

/// A worker's reply to a start command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartReply {
    /// The result.
    pub answer: StartAnswer,
    /// Reading of the worker's clock in milliseconds; `None` if the reply has none.
    pub clock_ms: Option<u64>,
}

impl From<StartAnswer> for StartReply {
    fn from(answer: StartAnswer) -> StartReply {
        StartReply { answer, clock_ms: None }
    }
}

/// Why a worker refused a start command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// It has seen a higher fencing token: another leader has taken over.
    #[display("fence")]
    StaleToken,
    /// This attempt, or a later one of the task, has ended there.
    #[display("old")]
    StaleAttempt,
    /// The command arrived after its deadline.
    #[display("late")]
    Expired,
    /// Its free capacity is insufficient.
    #[display("room")]
    InsufficientCapacity,
    /// The adviser's ticket is not valid.
    #[display("ticket")]
    InvalidTicket,
    /// It is not healthy.
    #[display("unhealthy")]
    Unhealthy,
    /// Another incarnation of the worker answered.
    #[display("other-life")]
    OtherIncarnation,
    /// It cannot parse the command.
    #[display("malformed")]
    Malformed,
}

impl Scheduler {
    /// Records the result of a start command.
    pub fn start_answered(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        reply: impl Into<StartReply>,
        now: Instant,
    ) {
        let StartReply { answer, clock_ms } = reply.into();
        let Some(&key) = self.attempt_ids.get(&(task, attempt)) else { return };
        let sent = self.attempts[key].started;
        self.start_window.record_answer(now.saturating_duration_since(sent));
        if answer != StartAnswer::Unanswered {
            self.forget_late_start(key);
        }
        match answer {
            StartAnswer::Started => self.start_confirmed(key, clock_ms, now),
            StartAnswer::Refused(reason) => self.refused(key, reason, now),
            StartAnswer::NotSent => {
                let worker = self.attempts[key].worker;
                self.back_off(worker, now + UNHEALTHY_BACKOFF);
                self.remove_unstarted(key, answer, now);
            }
            StartAnswer::Unanswered => self.mark_unresolved(key, now),
        }
    }

    /// Records that a worker has carried out a start command.
    fn start_confirmed(&mut self, key: AttemptKey, clock_ms: Option<u64>, now: Instant) {
        self.confirm(key, now);
        if let Some(reading_ms) = clock_ms
            && self.attempts.contains_key(key)
        {
            self.note_start_clock(key, reading_ms, now);
        }
    }

    /// Marks an attempt as running on its worker, or as stopping if it was told
    /// to stop. Stops it if the job has ended or the task is done.
    pub(crate) fn confirm(&mut self, key: AttemptKey, now: Instant) {
        let attempt = &mut self.attempts[key];
        if matches!(attempt.phase, Phase::Starting | Phase::Unresolved) {
            attempt.phase = Phase::Running;
            attempt.last_progress = now;
        }
        attempt.confirmed.get_or_insert(now);
        let (task, stop) = (attempt.task, attempt.stop_sent.is_some());
        if stop {
            self.attempts[key].phase = Phase::Stopping;
        }
        let Some(&job) = self.job_ids.get(&task.step.job) else { return };
        let job = &mut self.jobs[job];
        job.started = true;
        let (open, done) = (job.is_open(), job.task(task).is_some_and(|task| task.done));
        if !open || done {
            let reason = if open { StopReason::Duplicate } else { StopReason::JobEnded };
            self.stop_attempt(key, reason, now);
        }
    }

    /// Records that a start command was not answered, and stops the attempt in
    /// case it has started, unless it is to go on then.
    fn mark_unresolved(&mut self, key: AttemptKey, now: Instant) {
        if self.attempts[key].phase != Phase::Starting {
            return;
        }
        self.counts.unresolved += 1;
        self.attempts[key].phase = Phase::Unresolved;
        self.remember_start(key, now);
        let worker = self.attempts[key].worker;
        self.back_off(worker, now + NO_CAPACITY_BACKOFF);
        if !self.may_go_on(key) {
            self.stop_attempt(key, StopReason::Unanswered, now);
        }
    }

    /// Whether an attempt whose start was not answered is to go on if it has
    /// started: it is the only one of a continuous task, so a stop would make the
    /// task unavailable. The next polls show what became of it.
    pub(crate) fn may_go_on(&self, key: AttemptKey) -> bool {
        let attempt = &self.attempts[key];
        let continuous = self.spec_of(attempt.task).is_some_and(|spec| spec.continuous);
        continuous
            && self.is_sole_attempt(key)
            && attempt.phase == Phase::Unresolved
            && !attempt.needs_stop
    }

    /// Whether an attempt is the only one of a task of an open job.
    pub(crate) fn is_sole_attempt(&self, key: AttemptKey) -> bool {
        let task = self.attempts[key].task;
        self.job_of(task).is_some_and(|job| {
            job.is_open() && job.task(task).is_some_and(|task| task.attempts == [key])
        })
    }

    fn refused(&mut self, key: AttemptKey, reason: RefusalReason, now: Instant) {
        let (worker, task) = (self.attempts[key].worker, self.attempts[key].task);
        match reason {
            RefusalReason::InsufficientCapacity => {
                self.counts.no_capacity += 1;
                self.back_off(worker, now + NO_CAPACITY_BACKOFF);
            }
            RefusalReason::Unhealthy => self.back_off(worker, now + UNHEALTHY_BACKOFF),
            RefusalReason::InvalidTicket => {
                if let Some(&job) = self.job_ids.get(&task.step.job)
                    && let Some(step) = self.jobs[job].step_mut(task.step)
                {
                    step.tickets.forget(worker);
                }
            }
            // The next poll reports the new incarnation.
            RefusalReason::OtherIncarnation => self.back_off(worker, now + UNHEALTHY_BACKOFF),
            RefusalReason::StaleToken
            | RefusalReason::StaleAttempt
            | RefusalReason::Expired
            | RefusalReason::Malformed => {}
        }
        self.remove_unstarted(key, StartAnswer::Refused(reason), now);
        if reason == RefusalReason::Malformed
            && let Some(task) = self.task_mut(task)
        {
            task.not_before = Some(now + MALFORMED_RETRY_DELAY);
        }
    }

    /// Removes an attempt whose start command was not carried out, as the answer shows.
    fn remove_unstarted(&mut self, key: AttemptKey, answer: StartAnswer, now: Instant) {
        let attempt = &self.attempts[key];
        let on = &self.workers[attempt.worker];
        let proof = Proof::by_start_answer(attempt, on, answer, now);
        self.remove_proven(key, proof, now);
    }

    /// Records that a worker answered the command to stop an attempt: the
    /// attempt is ending, has ended, or will never start in that incarnation. The answer of
    /// an earlier one says nothing about the present one.
    pub fn stop_answered(
        &mut self,
        by: &WorkerIncarnation,
        task: TaskId,
        attempt: AttemptNumber,
        now: Instant,
    ) {
        self.late_starts.close(by, task, attempt);
        let Some(&key) = self.attempt_ids.get(&(task, attempt)) else { return };
        let present = &self.workers[self.attempts[key].worker].incarnation;
        if (&present.id, present.start_ms) == (&by.id, by.start_ms) {
            self.attempts[key].stop_answered = Some(now);
        }
    }

    /// Gives a worker no new work until `until`.
    pub(crate) fn back_off(&mut self, worker: crate::workers::worker::WorkerKey, until: Instant) {
        let backoff = &mut self.workers[worker].backoff_until;
        *backoff = Some(backoff.map_or(until, |before| before.max(until)));
    }

    /// Records a failed attempt of a task. Fails the job once the task has
    /// failed as often as the queue allows; failures of a continuous task do
    /// not count.
    pub(crate) fn record_task_failure(&mut self, task: TaskId, attempt: AttemptNumber) {
        let Some(&key) = self.job_ids.get(&task.step.job) else { return };
        let continuous = self.spec_of(task).is_some_and(|spec| spec.continuous);
        let job = &mut self.jobs[key];
        let queue = self.config.queue_of(&job.spec);
        let max_failures = queue.map_or(u32::MAX, |queue| queue.max_failures);
        let Some(state) = job.task_mut(task) else { return };
        let is_new = !state.done && state.record_failure(attempt);
        if continuous {
            // They fail without end, and each number is a part of the job's record.
            let excess = state.failed_attempts.len().saturating_sub(MAX_KEPT_FAILURES);
            state.failed_attempts.drain(..excess);
        }
        if !is_new || continuous {
            return;
        }
        let failures = state.failed_attempts.len() as u32;
        let open = job.is_open();
        self.mark_dirty(key);
        if open && failures >= max_failures {
            self.end_job(key, JobOutcome::Failed);
        }
    }
}
