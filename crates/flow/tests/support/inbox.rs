//! Answers on their way to the leader, which may stand still between an answer and its use.

use rand::Rng;
use rand::seq::SliceRandom;
use vg_base::prelude::*;
use vg_flow::{
    AttemptNumber, Machine, MachineAnswer, MachineCommand, PollFailure, Renewal, Report,
    StartReply, TaskId, WorkerIncarnation,
};

use super::world::{STEP_MS, World};

/// For how long a leader stands still, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 1000..4000;
/// Longest time after a pause in which an answer is still not applied.
const CATCH_UP_MS: u64 = 80;

/// An answer for the leader.
#[derive(Debug)]
pub(super) enum Answer {
    Start { task: TaskId, attempt: AttemptNumber, reply: StartReply },
    Stop { by: WorkerIncarnation, task: TaskId, attempt: AttemptNumber },
    Report { at: usize, report: Report, sent: Instant },
    PollFailed { poll: Renewal, failure: PollFailure },
    Machine { command: MachineCommand, answer: MachineAnswer },
    Machines { list: Vec<Machine>, asked: Instant },
}

/// The answers that wait for the leader, and until when it stands still.
#[derive(Debug, Default)]
pub(crate) struct Inbox {
    began: u64,
    paused_until: Option<u64>,
    /// Whether registrations have changed meanwhile.
    pub(super) unread: bool,
    held: Vec<Answer>,
    /// Answers that are applied soon, and when.
    due: Vec<(u64, Answer)>,
}

impl Inbox {
    /// Whether the leader stands still. It sent the commands of a last round before.
    pub(super) fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }
}

#[allow(dead_code, reason = "each test uses a part")]
impl World {
    /// Lets the leader stand still, after the round of this step.
    pub(crate) fn pause(&mut self, ms: u64) {
        self.inbox.began = self.ms;
        self.inbox.paused_until = Some(self.ms + ms);
    }

    /// Lets the leader stand still for some time.
    pub(super) fn pause_at_random(&mut self) {
        if !self.inbox.is_paused() {
            let ms = self.rng.random_range(PAUSE_MS);
            self.pause(ms);
        }
    }

    /// Whether the leader does nothing in this step.
    pub(super) fn stands_still(&self) -> bool {
        self.inbox.is_paused() && self.ms > self.inbox.began
    }

    /// Ends a pause that is over, and applies answers that are due.
    pub(super) fn advance_inbox(&mut self) {
        let ms = self.ms;
        if self.inbox.paused_until.is_some_and(|until| until <= ms) {
            self.inbox.paused_until = None;
            let mut held = std::mem::take(&mut self.inbox.held);
            held.shuffle(&mut self.rng);
            for answer in held {
                let at = ms + self.rng.random_range(0..CATCH_UP_MS) / STEP_MS * STEP_MS;
                self.inbox.due.push((at, answer));
            }
        }
        if self.inbox.is_paused() {
            return;
        }
        if std::mem::take(&mut self.inbox.unread) {
            self.register();
        }
        let due: Vec<_> = self.inbox.due.extract_if(.., |(at, _)| *at <= ms).collect();
        due.into_iter().for_each(|(_, answer)| self.apply(answer));
    }

    /// Loses the answers for a leader that is gone.
    pub(super) fn clear_inbox(&mut self) {
        self.inbox = Inbox::default();
    }

    /// Takes an answer, which is applied at once unless the leader stands still.
    pub(super) fn receive(&mut self, answer: Answer) {
        match self.inbox.is_paused() {
            true => self.inbox.held.push(answer),
            false => self.apply(answer),
        }
    }

    fn apply(&mut self, answer: Answer) {
        let now = self.now();
        match answer {
            Answer::Start { task, attempt, reply } => {
                self.scheduler.start_answered(task, attempt, reply, now);
            }
            Answer::Stop { by, task, attempt } => {
                self.scheduler.stop_answered(&by, task, attempt, now);
            }
            Answer::Report { at, report, sent } => self.apply_report(at, &report, sent),
            Answer::PollFailed { poll, failure } => self.scheduler.poll_failed(&poll, failure, now),
            Answer::Machine { command, answer } => {
                self.scheduler.machine_answered(&command, answer, now);
            }
            Answer::Machines { list, asked } => self.scheduler.set_machine_list(list, asked),
        }
    }

    fn apply_report(&mut self, at: usize, report: &Report, sent: Instant) {
        let (id, now) = (self.workers[at].id.parse().unwrap(), self.now());
        self.scheduler.apply_report(&id, report, sent, now);
        let start_ms = self.workers[at].start_ms;
        if report.start_ms == Some(start_ms) {
            self.reached.insert(at, start_ms);
            self.seen_starts.insert(at, start_ms);
        }
    }
}
