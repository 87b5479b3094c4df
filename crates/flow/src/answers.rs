//! Answers of workers to starts and stops.

use derive_more::Display;
use vg_base::prelude::*;

use crate::attempt::Phase;
use crate::scheduler::Removal;
use crate::{AttemptNumber, JobOutcome, Scheduler, StopReason, TaskId};

/// Pause of a worker that turned a start away for its own health.
const UNHEALTHY_BACKOFF: Duration = Duration::from_millis(700);
/// Pause of a worker that had no room: what it is stopping still counts there.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(60);
/// Pause of a task whose start was refused as malformed.
const MALFORMED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// What became of the order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StartAnswer {
    /// The worker has the run.
    #[display("started")]
    Started,
    /// The worker proved that the order did nothing.
    #[display("refused={_0}")]
    Refused(RefusalReason),
    /// The order was not sent.
    #[display("not-sent")]
    NotSent,
    /// No answer came: it may have run, or may still.
    #[display("unanswered")]
    Unanswered,
}

/// Why a worker did nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RefusalReason {
    /// It has seen a higher fence: another leader has taken over.
    #[display("fence")]
    StaleToken,
    /// It has seen this run, or a later one, end.
    #[display("old")]
    StaleAttempt,
    /// The start came after its deadline.
    #[display("late")]
    Expired,
    /// It has no room.
    #[display("room")]
    InsufficientCapacity,
    /// The adviser's permission does not hold.
    #[display("ticket")]
    InvalidTicket,
    /// It is not healthy.
    #[display("unhealthy")]
    Unhealthy,
    /// Another life answered.
    #[display("other-life")]
    OtherIncarnation,
    /// It can't read the order.
    #[display("malformed")]
    Malformed,
}

impl Scheduler {
    /// Notes what became of a start.
    pub fn start_answered(
        &mut self,
        task: TaskId,
        attempt: AttemptNumber,
        answer: StartAnswer,
        now: Instant,
    ) {
        let Some(&key) = self.attempt_ids.get(&(task, attempt)) else { return };
        match answer {
            StartAnswer::Started => self.confirm(key, now),
            StartAnswer::Refused(reason) => self.refused(key, reason, now),
            StartAnswer::NotSent => {
                let worker = self.attempts[key].worker;
                self.back_off(worker, now + UNHEALTHY_BACKOFF);
                self.remove_attempt(key, Removal::NeverRan, now);
            }
            StartAnswer::Unanswered => self.mark_unresolved(key, now),
        }
    }

    /// Notes that a worker has a run.
    pub(crate) fn confirm(&mut self, key: crate::attempt::AttemptKey, now: Instant) {
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

    fn mark_unresolved(&mut self, key: crate::attempt::AttemptKey, now: Instant) {
        if self.attempts[key].phase != Phase::Starting {
            return;
        }
        self.counts.unresolved += 1;
        self.attempts[key].phase = Phase::Unresolved;
        let worker = self.attempts[key].worker;
        self.back_off(worker, now + NO_CAPACITY_BACKOFF);
        self.stop_attempt(key, StopReason::Unanswered, now);
    }

    fn refused(&mut self, key: crate::attempt::AttemptKey, reason: RefusalReason, now: Instant) {
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
            // The next look shows the new life.
            RefusalReason::OtherIncarnation => self.back_off(worker, now + UNHEALTHY_BACKOFF),
            RefusalReason::StaleToken
            | RefusalReason::StaleAttempt
            | RefusalReason::Expired
            | RefusalReason::Malformed => {}
        }
        self.remove_attempt(key, Removal::NeverRan, now);
        if reason == RefusalReason::Malformed
            && let Some(task) = self.task_mut(task)
        {
            task.not_before = Some(now + MALFORMED_RETRY_DELAY);
        }
    }

    /// Notes that a worker answered the order to stop a run: it is ending, has
    /// ended, or will never begin there.
    pub fn stop_answered(&mut self, task: TaskId, attempt: AttemptNumber, now: Instant) {
        if let Some(&key) = self.attempt_ids.get(&(task, attempt)) {
            self.attempts[key].stop_answered = Some(now);
        }
    }

    /// Gives a worker no new work until `until`.
    pub(crate) fn back_off(&mut self, worker: crate::worker::WorkerKey, until: Instant) {
        let back_off = &mut self.workers[worker].backoff_until;
        *back_off = Some(back_off.map_or(until, |before| before.max(until)));
    }

    /// Notes a failed run of a task, and the job's end if it was the last one.
    pub(crate) fn note_failure(&mut self, task: TaskId, attempt: AttemptNumber) {
        let Some(&key) = self.job_ids.get(&task.step.job) else { return };
        let continuous = self.spec_of(task).is_some_and(|spec| spec.continuous);
        let job = &mut self.jobs[key];
        let max_failures =
            self.config.queues.get(&job.spec.queue).map_or(u32::MAX, |q| q.max_failures);
        let Some(state) = job.task_mut(task) else { return };
        if state.done || !state.note_failure(attempt) || continuous {
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
