//! Start commands without an answer, which may still arrive in a later incarnation of their
//! worker.
//!
//! Load that this module handles: many commands get no answer and are carried out seconds
//! later, while workers crash and start again under their ids. An incarnation refuses a late
//! start by its deadline or by the stop that it has answered. The next one knows neither, and
//! has seen no fencing token. So each one without an answer is remembered, also when its
//! attempt is removed or its worker is dropped: a later incarnation gets a stop for it as soon
//! as it is seen, and until that is answered, or the incarnation is fenced, its task starts
//! nowhere else and its capacity is not given away.

use std::collections::HashMap;

use vg_base::prelude::*;

use crate::jobs::attempt::{Attempt, AttemptKey, Phase};
use crate::jobs::checkpoint::Checkpoint;
use crate::workers::worker::{MESSAGE_DELAY_MAX, WorkerKey};
use crate::{AttemptNumber, Scheduler, StopReason, TaskId, WorkerIncarnation};

/// Longest time from sending a poll until its report is applied.
const POLL_TIME_MAX: Duration = Duration::from_secs(5);

/// A start command without an answer.
#[derive(Debug, Clone)]
struct LateStart {
    attempt: Attempt,
    /// Until when it may arrive.
    until: Instant,
    /// Start of the incarnation that refuses it: by its deadline, or since it has answered a
    /// stop.
    closed_in: Option<u64>,
}

/// The start commands without an answer, by worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct LateStarts {
    starts: HashMap<HostId, Vec<LateStart>>,
}

impl LateStarts {
    fn find(
        &mut self,
        id: &HostId,
        task: TaskId,
        attempt: AttemptNumber,
    ) -> Option<&mut LateStart> {
        let mut here = self.starts.get_mut(id)?.iter_mut();
        here.find(|late| late.attempt.task == task && late.attempt.attempt == attempt)
    }

    /// Forgets a start that has been carried out or refused: no command is sent twice.
    pub(crate) fn forget(&mut self, id: &HostId, task: TaskId, attempt: AttemptNumber) {
        if let Some(here) = self.starts.get_mut(id) {
            here.retain(|late| late.attempt.task != task || late.attempt.attempt != attempt);
        }
    }

    /// Notes that an incarnation has answered the stop of an attempt.
    pub(crate) fn close(&mut self, by: &WorkerIncarnation, task: TaskId, attempt: AttemptNumber) {
        if let Some(late) = self.find(&by.id, task, attempt) {
            late.closed_in = Some(by.start_ms);
        }
    }

    /// Forgets the starts that can't arrive any more, and that each report to come shows.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.starts.retain(|_, here| {
            here.retain(|late| now < late.until + POLL_TIME_MAX);
            !here.is_empty()
        });
    }

    /// Returns the starts that an incarnation may carry out.
    fn open_in(&self, by: &WorkerIncarnation, now: Instant) -> Vec<Attempt> {
        let here = self.starts.get(&by.id).into_iter().flatten();
        let open = here.filter(|late| now < late.until && late.closed_in != Some(by.start_ms));
        open.map(|late| late.attempt.clone()).collect()
    }
}

impl Scheduler {
    /// Remembers the start command of an attempt that has no answer.
    pub(crate) fn remember_start(&mut self, key: AttemptKey, now: Instant) {
        let attempt = &self.attempts[key];
        let by = &self.workers[attempt.worker].incarnation;
        let is_closed = !attempt.needs_stop || attempt.stop_answered.is_some();
        let closed_in = is_closed.then_some(by.start_ms);
        let late =
            LateStart { attempt: attempt.clone(), until: now + MESSAGE_DELAY_MAX, closed_in };
        let id = by.id.clone();
        self.late_starts.forget(&id, attempt.task, attempt.attempt);
        self.late_starts.starts.entry(id).or_default().push(late);
    }

    /// Forgets the start command of an attempt that was carried out or refused.
    pub(crate) fn forget_late_start(&mut self, key: AttemptKey) {
        let attempt = &self.attempts[key];
        let id = &self.workers[attempt.worker].incarnation.id;
        self.late_starts.forget(id, attempt.task, attempt.attempt);
    }

    /// Sends a stop for each start command that the present incarnation of a worker may
    /// carry out although it was sent to an earlier one. Until it is answered, the attempt
    /// counts as one that may run there.
    pub(crate) fn stop_late_starts(&mut self, worker: WorkerKey, now: Instant) {
        let open = match self.workers[worker].is_fenced() {
            true => Vec::new(),
            false => self.late_starts.open_in(&self.workers[worker].incarnation, now),
        };
        for attempt in open {
            if !self.attempt_ids.contains_key(&(attempt.task, attempt.attempt)) {
                self.insert_attempt(unresolved_in_later(attempt, worker));
            }
        }
        for key in self.late_attempts(worker) {
            self.stop_attempt(key, StopReason::Unanswered, now);
        }
    }

    /// Lets the stops of late starts be sent again without delay: the worker was unreachable,
    /// and has answered.
    pub(crate) fn repeat_late_stops(&mut self, worker: WorkerKey) {
        for key in self.late_attempts(worker) {
            self.attempts[key].stop_sent = None;
        }
    }

    /// Returns the attempts that a worker may start late, as it has answered no stop. One
    /// that runs there and is the only one of its task goes on.
    fn late_attempts(&self, worker: WorkerKey) -> Vec<AttemptKey> {
        let is_late = |key: &AttemptKey| {
            let attempt = &self.attempts[*key];
            let goes_on = attempt.is_running() && self.is_sole_attempt(*key);
            attempt.needs_stop && attempt.stop_answered.is_none() && !goes_on
        };
        self.workers[worker].attempts.iter().copied().filter(is_late).collect()
    }

    /// Whether an attempt that has not been seen on an unreachable worker may yet start
    /// there: a later incarnation would not refuse it. It is one already, or the connection
    /// broke, as it does when a process ends. Continuous tasks do not wait for what may come.
    pub(crate) fn may_start_late(&self, key: AttemptKey, now: Instant) -> bool {
        let attempt = &self.attempts[key];
        let worker = &self.workers[attempt.worker];
        let continuous = || self.spec_of(attempt.task).is_some_and(|spec| spec.continuous);
        let may_return = worker.blamed && !worker.gone && !continuous();
        attempt.phase == Phase::Unresolved
            && (attempt.needs_stop || may_return)
            && self.may_arrive(attempt, now)
    }

    /// Whether the start command of an attempt without an answer may arrive at its worker
    /// after `at`.
    pub(crate) fn may_arrive(&self, attempt: &Attempt, at: Instant) -> bool {
        let id = &self.workers[attempt.worker].incarnation.id;
        let is_late = |late: &LateStart| {
            at < late.until
                && late.attempt.task == attempt.task
                && late.attempt.attempt == attempt.attempt
        };
        self.late_starts.starts.get(id).is_some_and(|here| here.iter().any(is_late))
    }
}

/// Returns an attempt as one that a later incarnation of its worker may start.
fn unresolved_in_later(attempt: Attempt, worker: WorkerKey) -> Attempt {
    Attempt {
        worker,
        phase: Phase::Unresolved,
        confirmed: None,
        reported: false,
        matched: false,
        stop_sent: None,
        stop_answered: None,
        needs_stop: true,
        // The task may have a later one.
        checkpoint: Checkpoint::default(),
        ..attempt
    }
}
