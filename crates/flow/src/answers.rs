//! Answers of workers to starts and stops.

use derive_more::Display;
use vg_base::prelude::*;

use crate::flow::Removed;
use crate::run::Phase;
use crate::{Final, Flow, Run, StopReason, TaskId};

/// Pause of a worker that turned a start away for its own health.
const SICK_PAUSE: Duration = Duration::from_millis(700);
/// Pause of a worker that had no room: what it is stopping still counts there.
const ROOM_PAUSE: Duration = Duration::from_millis(60);
/// Pause of a task whose start was refused as malformed.
const MALFORMED_PAUSE: Duration = Duration::from_secs(2);

/// What became of the order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StartAnswer {
    /// The worker has the run.
    #[display("started")]
    Started,
    /// The worker proved that the order did nothing.
    #[display("refused={_0}")]
    Refused(Refused),
    /// The order was not sent.
    #[display("not-sent")]
    NotSent,
    /// No answer came: it may have run, or may still.
    #[display("unanswered")]
    Unanswered,
}

/// Why a worker did nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refused {
    /// It has seen a higher fence: another leader has taken over.
    #[display("fence")]
    Fence,
    /// It has seen this run, or a later one, end.
    #[display("old")]
    Old,
    /// The start came after its deadline.
    #[display("late")]
    Late,
    /// It has no room.
    #[display("room")]
    Room,
    /// The adviser's permission does not hold.
    #[display("ticket")]
    Ticket,
    /// It is not healthy.
    #[display("unhealthy")]
    Unhealthy,
    /// Another life answered.
    #[display("other-life")]
    OtherLife,
    /// It can't read the order.
    #[display("malformed")]
    Malformed,
}

impl Flow {
    /// Notes what became of a start.
    pub fn start_answered(&mut self, task: TaskId, run: Run, answer: StartAnswer, now: Instant) {
        let Some(&key) = self.run_ids.get(&(task, run)) else { return };
        match answer {
            StartAnswer::Started => self.confirm(key, now),
            StartAnswer::Refused(why) => self.refused(key, why, now),
            StartAnswer::NotSent => {
                let worker = self.runs[key].worker;
                self.rest(worker, now + SICK_PAUSE);
                self.remove_run(key, Removed::NeverRan, now);
            }
            StartAnswer::Unanswered => self.doubt_run(key, now),
        }
    }

    /// Notes that a worker has a run.
    pub(crate) fn confirm(&mut self, key: crate::run::RunKey, now: Instant) {
        let run = &mut self.runs[key];
        if matches!(run.phase, Phase::Starting | Phase::Unsure) {
            run.phase = Phase::Running;
            run.moved = now;
        }
        run.confirmed.get_or_insert(now);
        let (task, stop) = (run.task, run.stop_sent.is_some());
        if stop {
            self.runs[key].phase = Phase::Stopping;
        }
        let Some(&job) = self.job_ids.get(&task.step.job) else { return };
        let job = &mut self.jobs[job];
        job.began = true;
        let (open, done) = (job.is_open(), job.task(task).is_some_and(|task| task.done));
        if !open || done {
            let reason = if open { StopReason::Duplicate } else { StopReason::JobOver };
            self.stop_run(key, reason, now);
        }
    }

    fn doubt_run(&mut self, key: crate::run::RunKey, now: Instant) {
        if self.runs[key].phase != Phase::Starting {
            return;
        }
        self.counts.unsure += 1;
        self.runs[key].phase = Phase::Unsure;
        let worker = self.runs[key].worker;
        self.rest(worker, now + ROOM_PAUSE);
        self.stop_run(key, StopReason::Unanswered, now);
    }

    fn refused(&mut self, key: crate::run::RunKey, why: Refused, now: Instant) {
        let (worker, task) = (self.runs[key].worker, self.runs[key].task);
        match why {
            Refused::Room => {
                self.counts.no_room += 1;
                self.rest(worker, now + ROOM_PAUSE);
            }
            Refused::Unhealthy => self.rest(worker, now + SICK_PAUSE),
            Refused::Ticket => {
                if let Some(&job) = self.job_ids.get(&task.step.job)
                    && let Some(step) = self.jobs[job].step_mut(task.step)
                {
                    step.tickets.forget(worker);
                }
            }
            // The next look shows the new life.
            Refused::OtherLife => self.rest(worker, now + SICK_PAUSE),
            Refused::Fence | Refused::Old | Refused::Late | Refused::Malformed => {}
        }
        self.remove_run(key, Removed::NeverRan, now);
        if why == Refused::Malformed
            && let Some(task) = self.task_mut(task)
        {
            task.not_before = Some(now + MALFORMED_PAUSE);
        }
    }

    /// Notes that a worker answered the order to stop a run: it is ending, has
    /// ended, or will never begin there.
    pub fn stop_answered(&mut self, task: TaskId, run: Run, now: Instant) {
        if let Some(&key) = self.run_ids.get(&(task, run)) {
            self.runs[key].stop_answered = Some(now);
        }
    }

    /// Gives a worker no new work until `until`.
    pub(crate) fn rest(&mut self, worker: crate::worker::WorkerKey, until: Instant) {
        let rest = &mut self.workers[worker].rest_until;
        *rest = Some(rest.map_or(until, |before| before.max(until)));
    }

    /// Notes a failed run of a task, and the job's end if it was the last one.
    pub(crate) fn note_failure(&mut self, task: TaskId, run: Run) {
        let Some(&key) = self.job_ids.get(&task.step.job) else { return };
        let lasting = self.spec_of(task).is_some_and(|spec| spec.lasting);
        let job = &mut self.jobs[key];
        let attempts = self.content.queues.get(&job.spec.queue).map_or(u32::MAX, |q| q.attempts);
        let Some(state) = job.task_mut(task) else { return };
        if state.done || !state.note_failure(run) || lasting {
            return;
        }
        let failures = state.failed.len() as u32;
        let open = job.is_open();
        self.mark_dirty(key);
        if open && failures >= attempts {
            self.end_job(key, Final::Failed);
        }
    }
}
