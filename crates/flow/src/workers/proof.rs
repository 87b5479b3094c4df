//! Proof that an attempt never ran or can't run any more: the only ground on which a leader
//! removes an attempt, and so the only one on which its task is started again.
//!
//! Load that this module handles: answers are lost, come late or from another life of the
//! worker than the one that was asked, and hosts stand still between an answer and its use. A
//! leader that applies one of them to the wrong attempt starts a task twice. So each finding has
//! one constructor here, which compares what was seen with the attempt that it is about: the
//! life that was asked, and the order in which calls were sent and answered. There is no other
//! way to build a proof. It is kept with the task and logged with the start that it allows
//! ([`StartGround`](crate::StartGround)).

use derive_more::Display;
use vg_base::prelude::*;

use crate::jobs::attempt::{Attempt, Phase};
use crate::workers::worker::Worker;
use crate::{
    AttemptNumber, AttemptOutcome, EndedAttempt, LeaseCause, MachineCommand, RefusalReason,
    StartAnswer,
};

/// A call and its answer, by this host's monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exchange {
    /// When the call was sent.
    pub sent: Instant,
    /// When its answer was read. It may have waited before.
    pub read: Instant,
}

/// One life of a worker, from the start of its process to its end.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{worker}@{start_ms}")]
pub struct WorkerLife {
    /// The worker.
    pub worker: HostId,
    /// Wall time of the start in milliseconds since 1970, as the worker reports it.
    pub start_ms: u64,
}

/// What shows that an attempt can't run.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Finding {
    /// Its start command was not sent.
    #[display("not-sent")]
    NotSent,
    /// The worker has refused its start command.
    #[display("refused")]
    Refused(RefusalReason),
    /// A report lists its end.
    #[display("ended")]
    Ended(AttemptOutcome),
    /// The worker has confirmed it, and a report to a later poll doesn't list it.
    #[display("not-listed")]
    NotListed,
    /// Its start has no answer, the worker has answered its stop, and a report to a later poll
    /// doesn't list it.
    #[display("stopped")]
    Stopped,
    /// The worker's clock has passed the deadline of its start command, and the report that
    /// says so doesn't list it.
    #[display("expired")]
    StartExpired {
        /// Reading of the worker's clock in milliseconds.
        clock_ms: u64,
    },
    /// The worker refuses calls to its earlier lives, of which its start command is one, and a
    /// report doesn't list it.
    #[display("fenced")]
    Fenced,
    /// Its start command can't be on its way any more, and a report doesn't list it.
    #[display("overdue")]
    StartOverdue,
    /// A later life of its worker was seen.
    #[display("restarted")]
    LaterLife {
        /// Start of that life in milliseconds since 1970.
        start_ms: u64,
    },
    /// Another worker answers from the machine of its worker.
    #[display("machine-taken")]
    MachineTaken {
        /// The other worker.
        by: HostId,
    },
    /// A command has taken its machine away.
    #[display("machine-commanded")]
    MachineCommanded(MachineCommand),
    /// The worker has not answered until its lease had ended, by this host's clock.
    #[display("lease")]
    LeaseEnded(LeaseCause),
}

impl Finding {
    /// Whether it shows that the attempt never ran.
    pub fn is_unrun(&self) -> bool {
        match self {
            Finding::NotSent
            | Finding::Refused(_)
            | Finding::StartExpired { .. }
            | Finding::Stopped
            | Finding::Fenced
            | Finding::StartOverdue => true,
            Finding::Ended(_)
            | Finding::NotListed
            | Finding::LaterLife { .. }
            | Finding::MachineTaken { .. }
            | Finding::MachineCommanded(_)
            | Finding::LeaseEnded(_) => false,
        }
    }

    /// Returns why the lease of the worker was taken to last until it ended; `None` if it was
    /// found otherwise.
    pub fn lease_cause(&self) -> Option<LeaseCause> {
        match self {
            Finding::LeaseEnded(cause) => Some(*cause),
            _ => None,
        }
    }

    /// Whether the attempt was lost with its worker.
    pub fn is_loss(&self) -> bool {
        matches!(
            self,
            Finding::LaterLife { .. }
                | Finding::MachineTaken { .. }
                | Finding::MachineCommanded(_)
                | Finding::LeaseEnded(_)
        )
    }
}

/// Proof that an attempt never ran, or can't run any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proof {
    attempt: AttemptNumber,
    life: WorkerLife,
    finding: Finding,
    seen: Exchange,
}

impl Proof {
    fn new(attempt: &Attempt, on: &Worker, finding: Finding, seen: Exchange) -> Proof {
        let life = WorkerLife { worker: on.incarnation.id.clone(), start_ms: attempt.life };
        Proof { attempt: attempt.attempt, life, finding, seen }
    }

    /// Proves that an attempt never ran whose start command is still to be sent.
    pub(crate) fn unsent(attempt: &Attempt, on: &Worker, now: Instant) -> Option<Proof> {
        let seen = Exchange { sent: now, read: now };
        (attempt.phase == Phase::Listing).then(|| Proof::new(attempt, on, Finding::NotSent, seen))
    }

    /// Proves that an attempt never ran, by the result of its start command.
    pub(crate) fn by_start_answer(
        attempt: &Attempt,
        on: &Worker,
        answer: StartAnswer,
        now: Instant,
    ) -> Option<Proof> {
        let finding = match answer {
            StartAnswer::NotSent => Finding::NotSent,
            StartAnswer::Refused(reason) => Finding::Refused(reason),
            StartAnswer::Started | StartAnswer::Unanswered => return None,
        };
        let seen = Exchange { sent: attempt.started, read: now };
        Some(Proof::new(attempt, on, finding, seen))
    }

    /// Proves that an attempt has ended, as a report lists its end.
    pub(crate) fn by_end(
        attempt: &Attempt,
        on: &Worker,
        end: &EndedAttempt,
        seen: Exchange,
    ) -> Option<Proof> {
        let is_its = (attempt.task, attempt.attempt) == (end.task, end.attempt);
        is_its.then(|| Proof::new(attempt, on, Finding::Ended(end.outcome), seen))
    }

    /// Proves that an attempt has ended or never ran, by a report that doesn't list it, and
    /// that lists all ends. `may_arrive` tells whether its start command may be on its way.
    pub(crate) fn by_absence(
        attempt: &Attempt,
        on: &Worker,
        clock_ms: u64,
        seen: Exchange,
        may_arrive: bool,
    ) -> Option<Proof> {
        let before = |at: Option<Instant>| at.is_some_and(|at| at < seen.sent);
        let (known, stopped) = (before(attempt.confirmed), before(attempt.stop_answered));
        let finding = match attempt.phase {
            Phase::Listing | Phase::Starting => return None,
            Phase::Unresolved if stopped => Finding::Stopped,
            Phase::Unresolved if attempt.needs_stop && on.is_fenced() => Finding::Fenced,
            Phase::Unresolved if attempt.needs_stop && !may_arrive => Finding::StartOverdue,
            Phase::Unresolved if !attempt.needs_stop && clock_ms > attempt.expires_ms => {
                Finding::StartExpired { clock_ms }
            }
            Phase::Unresolved => return None,
            // An earlier life had started it.
            Phase::Running | Phase::Stopping if known && attempt.is_in_doubt(on.known_since) => {
                Finding::LaterLife { start_ms: on.incarnation.start_ms }
            }
            // The worker confirmed it or answered its stop command before the poll was sent.
            Phase::Running | Phase::Stopping if known || stopped => Finding::NotListed,
            Phase::Running | Phase::Stopping => return None,
        };
        Some(Proof::new(attempt, on, finding, seen))
    }

    /// Proves that an attempt has ended which a report of an earlier life of its worker has
    /// shown: the present one was seen.
    pub(crate) fn by_later_life(attempt: &Attempt, on: &Worker, seen: Exchange) -> Option<Proof> {
        let finding = Finding::LaterLife { start_ms: on.incarnation.start_ms };
        attempt.reported.then(|| Proof::new(attempt, on, finding, seen))
    }

    /// Proves that an attempt has ended which runs on the machine of its worker, as the worker
    /// `by` there has answered a poll that was sent after that one was known.
    pub(crate) fn by_machine(
        attempt: &Attempt,
        on: &Worker,
        by: &Worker,
        seen: Exchange,
    ) -> Option<Proof> {
        let finding = Finding::MachineTaken { by: by.incarnation.id.clone() };
        let is_replaced = by.known_machine().is_some_and(|here| on.is_replaced(here, seen.sent));
        let is_proven = is_replaced && attempt.is_placed();
        is_proven.then(|| Proof::new(attempt, on, finding, seen))
    }

    /// Proves that an attempt has ended which runs on the machine of its worker, as a command
    /// has taken the machine away. What is seen is when the command was decided, and when its
    /// answer was read.
    pub(crate) fn by_command(attempt: &Attempt, on: &Worker) -> Option<Proof> {
        let departure = on.departure.as_ref().filter(|departure| departure.has_ended(on))?;
        let finding = Finding::MachineCommanded(departure.command.clone());
        let is_its = attempt.is_placed() && attempt.life == on.incarnation.start_ms;
        is_its.then(|| Proof::new(attempt, on, finding, departure.seen))
    }

    /// Proves that an attempt has ended, as its worker doesn't answer and its lease has ended.
    /// What is seen is the end of the lease, by this host's clock. It proves nothing of a start
    /// whose answer is still to be read: a later life may have given it.
    pub(crate) fn by_lease(attempt: &Attempt, on: &Worker, now: Instant) -> Option<Proof> {
        if attempt.phase == Phase::Starting {
            return None;
        }
        let seen = Exchange { sent: on.last_lease_end(), read: now };
        let finding = Finding::LeaseEnded(on.lease_cause());
        on.has_lapsed(now).then(|| Proof::new(attempt, on, finding, seen))
    }

    /// Returns the attempt that it is about.
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Returns the life of its worker that last confirmed it or, before that, to which its
    /// start command was sent.
    pub fn life(&self) -> &WorkerLife {
        &self.life
    }

    /// Returns what was seen.
    pub fn finding(&self) -> &Finding {
        &self.finding
    }

    /// Returns when the call was sent whose answer shows it, and when that was read. For a
    /// lease, when it had ended and when that was noticed.
    pub fn seen(&self) -> Exchange {
        self.seen
    }
}
