//! Messages between the leader and the workers of a simulated fleet, some of which are lost or
//! arrive late.

use rand::Rng;
use vg_base::prelude::*;
use vg_flow::{
    Action, AttemptOutcome, FencingToken, PollFailure, RefusalReason, Renewal, Report, StartAnswer,
    StartCommand, StartReply,
};
use vg_jobs::Resources;
use vg_standin::TaskAttempt;

use super::inbox::Answer;
use super::swaps::Target;
use super::world::{STEP_MS, STOP_MS, World};

/// Polls that wait for longer where workers start again unseen, in thousandths.
const LONG_POLLS: u32 = 850;

/// Duration of a cut after a start in an unseen life, in milliseconds.
const UNSEEN_CUT_MS: std::ops::Range<u64> = 8000..25_000;

/// A start command that arrives late.
#[derive(Debug, Clone)]
pub(super) struct DelayedStart {
    pub(super) at: u64,
    pub(super) worker: usize,
    start: StartCommand,
}

/// A poll that arrives late. Nobody reads its answer.
#[derive(Debug, Clone)]
pub(super) struct DelayedPoll {
    at: u64,
    worker: usize,
    renewal: Renewal,
}

#[allow(dead_code, reason = "each test uses a part")]
impl World {
    /// Sends a poll that arrives `delay_ms` later. The leader gets no answer.
    pub(crate) fn send_late_poll(&mut self, worker: usize, delay_ms: u64) {
        let id: HostId = self.workers[worker].id.parse().unwrap();
        let now = self.now();
        let Some(renewal) = self.scheduler.renewal(&id, now) else { return };
        self.delay_poll(worker, renewal, delay_ms);
    }

    /// Lets a poll arrive `delay_ms` from now. The leader gets no answer.
    pub(crate) fn delay_poll(&mut self, worker: usize, renewal: Renewal, delay_ms: u64) {
        let now = self.now();
        self.scheduler.poll_failed(&renewal, PollFailure::Silent, now);
        self.delayed_polls.push(DelayedPoll { at: self.ms + delay_ms, worker, renewal });
    }

    /// Lets all start commands that are late arrive in `ms`. Returns their workers.
    pub(crate) fn delay_late_starts(&mut self, ms: u64) -> Vec<usize> {
        let at = self.ms + ms;
        self.delayed_starts.iter_mut().for_each(|delayed| delayed.at = at);
        self.delayed_starts.iter().map(|delayed| delayed.worker).collect()
    }

    /// Whether a late start arrives at a later incarnation that no call has reached since it
    /// began, or that no leader has known of in a round or by a call. No leader can prevent
    /// what it does then, so such starts are left out.
    fn precedes_contact(&self, delayed: &DelayedStart) -> bool {
        let worker = &self.workers[delayed.worker];
        let is_seen = self.seen_starts.get(&delayed.worker) == Some(&worker.start_ms);
        worker.start_ms != delayed.start.incarnation.start_ms
            && (worker.token == FencingToken(0) || !is_seen && !self.is_reached(delayed.worker))
    }

    /// Whether a leader that knows the present life of a worker has called it, or has got an
    /// answer that shows it.
    fn is_reached(&self, at: usize) -> bool {
        self.reached.get(&at) == Some(&self.workers[at].start_ms)
    }

    /// Notes that a call has arrived which was meant for the life that started at `start_ms`.
    fn note_call(&mut self, at: usize, start_ms: u64) {
        if start_ms == self.workers[at].start_ms {
            self.reached.insert(at, start_ms);
        }
    }

    /// Notes the incarnations of which the leader has known in a round.
    pub(super) fn note_seen_starts(&mut self) {
        for at in 0..self.workers.len() {
            if self.scheduler.knows(&self.incarnation(at)) {
                self.seen_starts.insert(at, self.workers[at].start_ms);
            }
        }
    }

    pub(super) fn deliver_delayed_starts(&mut self) {
        let ms = self.ms;
        let due: Vec<_> =
            self.delayed_starts.iter().filter(|delayed| delayed.at <= ms).cloned().collect();
        self.delayed_starts.retain(|delayed| delayed.at > ms);
        for delayed in due {
            if self.target(&delayed.start.incarnation) != Target::Meant(delayed.worker) {
                continue;
            }
            if !self.precedes_contact(&delayed) {
                self.deliver_start(delayed.worker, &delayed.start);
            } else if self.refuses_early_starts {
                self.refuse_start(&delayed);
            }
        }
    }

    /// Delivers a start to a worker that has no room for it.
    fn refuse_start(&mut self, delayed: &DelayedStart) {
        let reservation = Resources::new(u32::MAX, 0, 0);
        let task_attempt = TaskAttempt {
            task: delayed.start.task,
            attempt: delayed.start.attempt,
            started_ms: 0,
            finish_ms: 0,
            outcome: AttemptOutcome::Done,
            reservation,
            continuous: false,
            stop_ms: None,
        };
        let ms = self.ms;
        let worker = &mut self.workers[delayed.worker];
        if worker.up && worker.reachable {
            worker.guards_capacity = true;
            worker.start(&delayed.start, task_attempt, ms);
        }
    }

    pub(super) fn deliver_delayed_polls(&mut self) {
        let ms = self.ms;
        let due: Vec<_> = self.delayed_polls.extract_if(.., |delayed| delayed.at <= ms).collect();
        for DelayedPoll { worker, renewal, .. } in due {
            if self.target(&renewal.incarnation) == Target::Meant(worker) {
                let mut renewal = renewal;
                if !self.is_reached(worker) {
                    // No leader can prevent that it acknowledges ends of this life.
                    renewal.acknowledged = 0;
                }
                self.deliver_poll(worker, &renewal);
            }
        }
    }

    /// Delivers a poll to a worker, which takes what was meant for an earlier life as well.
    fn deliver_poll(&mut self, at: usize, renewal: &Renewal) -> Option<Report> {
        let ms = self.ms;
        let worker = &mut self.workers[at];
        let before = worker.acknowledged;
        let ends = worker.ended.clone();
        let acknowledged = renewal.acknowledged;
        let report = worker.poll(renewal.token, renewal.deadline_ms, acknowledged, ms)?;
        let last_expired = worker.expiry_number;
        for end in ends.iter().filter(|end| end.number > before && end.number <= acknowledged) {
            self.record_end(end.task, end.outcome, end.number <= last_expired);
        }
        Some(report)
    }

    pub(super) fn poll_workers(&mut self) {
        for at in 0..self.workers.len() {
            if self.faults.unseen_restarts > 0 && self.chance(LONG_POLLS) {
                continue;
            }
            let id: HostId = self.workers[at].id.parse().unwrap();
            let now = self.now();
            if self.chance(self.faults.late_polls) && self.workers[at].reachable {
                let delay_ms = self.rng.random_range(STEP_MS..12_000);
                self.send_late_poll(at, delay_ms);
                continue;
            }
            let Some(renewal) = self.scheduler.renewal(&id, now) else { continue };
            let worker = &self.workers[at];
            // The connection of an open poll ends with the process.
            if self.broken_polls.remove(&at) && renewal.incarnation.start_ms != worker.start_ms {
                let failure = PollFailure::Broken;
                self.receive(Answer::PollFailed { poll: renewal, failure });
                continue;
            }
            if !worker.up || !worker.reachable {
                let breaks = match worker.reachable {
                    true => !self.crashes.silent,
                    false => self.crashes.cuts_break,
                };
                let failure = if breaks { PollFailure::Broken } else { PollFailure::Silent };
                self.receive(Answer::PollFailed { poll: renewal, failure });
                continue;
            }
            if self.target(&renewal.incarnation) != Target::Meant(at) {
                let failure = PollFailure::Silent;
                self.receive(Answer::PollFailed { poll: renewal, failure });
                continue;
            }
            let Some(report) = self.deliver_poll(at, &renewal) else { continue };
            self.note_call(at, renewal.incarnation.start_ms);
            let waited = match self.faults.unseen_restarts {
                0 => 2,
                _ => self.rng.random_range(2..500),
            };
            let sent = now - Duration::from_millis(waited);
            self.receive(Answer::Report { at, report, sent });
            if self.open_polls {
                self.scheduler.poll_opened(&renewal);
            }
        }
    }

    pub(crate) fn execute(&mut self, action: Action) {
        match action {
            Action::Start(start) => self.send_start(start),
            Action::Stop { incarnation, token, task, attempt, reason } => {
                self.stops.push((self.ms, task, reason));
                self.stop_sent.entry((task, attempt)).or_insert(self.ms);
                if self.refuses_stops {
                    return;
                }
                let Target::Meant(at) = self.target(&incarnation) else { return };
                let ms = self.ms;
                let worker = &mut self.workers[at];
                if worker.up && worker.reachable && worker.stop(task, attempt, token, STOP_MS, ms) {
                    self.note_call(at, incarnation.start_ms);
                    self.receive(Answer::Stop { by: incarnation, task, attempt });
                }
            }
            Action::Machine(command) => self.execute_machine_command(command),
            Action::AskAdviser { step, workers, permit } => {
                self.send_query(step, workers, &permit);
            }
            Action::Throttle { .. } => {}
        }
    }

    fn worker_of(&self, id: &HostId) -> Option<usize> {
        self.workers.iter().position(|worker| worker.id == id.as_str())
    }

    fn send_start(&mut self, start: StartCommand) {
        let Some(at) = self.worker_of(&start.incarnation.id) else { return };
        let (task, attempt) = (start.task, start.attempt);
        let unanswered = || Answer::Start { task, attempt, reply: StartAnswer::Unanswered.into() };
        let faults = self.faults;
        let target = self.target(&start.incarnation);
        let worker = &self.workers[at];
        if target == Target::Other && worker.reachable {
            let reply = StartAnswer::Refused(RefusalReason::OtherIncarnation).into();
            self.receive(Answer::Start { task, attempt, reply });
        } else if target == Target::Nobody || !worker.reachable || self.chance(faults.dropped) {
            self.receive(unanswered());
        } else if self.chance(faults.delayed) {
            let at_ms = self.ms + self.rng.random_range(2000..12_000);
            self.delayed_starts.push(DelayedStart { at: at_ms, worker: at, start });
            self.receive(unanswered());
        } else {
            self.note_call(at, start.incarnation.start_ms);
            let answer = self.deliver_start(at, &start);
            let answer =
                if self.chance(faults.unanswered) { StartAnswer::Unanswered } else { answer };
            let clock_ms = Some(self.workers[at].clock(self.ms));
            let reply = StartReply { answer, clock_ms };
            self.receive(Answer::Start { task, attempt, reply });
            let is_seen = start.incarnation.start_ms == self.workers[at].start_ms;
            if !is_seen && self.chance(faults.unseen_cuts) {
                self.cut_off_unseen(at);
            }
        }
    }

    /// Cuts a worker off that has carried out a start in a life that no leader has seen. A
    /// poll to the earlier life is late.
    fn cut_off_unseen(&mut self, at: usize) {
        if self.rng.random_bool(0.8) {
            let delay_ms = self.rng.random_range(STEP_MS..12_000);
            self.send_late_poll(at, delay_ms);
        }
        let until = self.ms + self.rng.random_range(UNSEEN_CUT_MS);
        self.cut_off(at, until);
        // The cut may keep it from the store as well, so that it can't register.
        if let Some(unseen) = self.unseen.get_mut(&at)
            && self.rng.random_bool(0.5)
        {
            unseen.1 = unseen.1.max(until);
        }
    }

    /// Delivers a start command to a worker.
    fn deliver_start(&mut self, at: usize, start: &StartCommand) -> StartAnswer {
        let Some(stored) = self.store.get(&start.task.step.job) else {
            self.violations.push(format!("{}: it was not submitted", start.task));
            return StartAnswer::Unanswered;
        };
        let spec = &stored.spec.steps[usize::from(start.task.step.step)];
        let (reservation, continuous, speculative) =
            (spec.reservation(), spec.continuous, spec.speculative);
        let ratio = self.truth.ratio(start.task, stored.spec.team.as_ref());
        let finish_ms = spec.estimate.mul_f64(ratio).as_millis() as u64;
        let doomed = self.truth.doomed.contains(&start.task.step.job);
        let failing = self.truth.failing.get(&at).copied().unwrap_or_default();
        let fails = self.chance(self.faults.failures) || self.chance(failing) || doomed;
        let outcome = if fails { AttemptOutcome::Failed } else { AttemptOutcome::Done };
        let task_attempt = TaskAttempt {
            task: start.task,
            attempt: start.attempt,
            started_ms: 0,
            finish_ms,
            outcome,
            reservation,
            continuous,
            stop_ms: None,
        };
        if !self.workers[at].up {
            return StartAnswer::Unanswered;
        }
        if !self.is_ticket_valid(&start.ticket) {
            return StartAnswer::Refused(RefusalReason::InvalidTicket);
        }
        let ms = self.ms;
        let before = self.workers[at].running.len();
        let answer = self.workers[at].start(start, task_attempt, ms);
        if answer == StartAnswer::Started && self.workers[at].running.len() > before {
            self.starts += 1;
            self.started.push((ms, at, start.task));
            self.check_start(at, start, speculative);
            self.note_deadly_start(at, start.task);
        }
        answer
    }
}
