//! One attempt: an execution of a task on one worker.

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::jobs::checkpoint::Checkpoint;
use crate::jobs::job::JobKey;
use crate::shares::teams::TeamIndex;
use crate::workers::worker::WorkerKey;
use crate::{AttemptNumber, TaskId};

slotmap::new_key_type! {
    /// Key of an attempt in its table.
    pub struct AttemptKey;
}

/// Phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It is kept for its worker, and is sent once the worker's durable record names it.
    Listing,
    /// The start command was sent and is not answered yet.
    Starting,
    /// The answer to the start command was lost: the attempt runs, never
    /// started, or starts late.
    Unresolved,
    /// The worker runs it.
    Running,
    /// It was told to stop. An attempt that is `Starting` or `Unresolved` when
    /// it is told to stop keeps that phase until it is confirmed or removed.
    Stopping,
}

/// What an attempt takes, by the specification of its step.
#[derive(Debug, Clone)]
pub(crate) struct Usage {
    /// Resources that it reserves on its worker.
    pub(crate) reserved: Resources,
    /// Resources that count against the team's limit.
    pub(crate) need: Resources,
    pub(crate) team: Option<TeamId>,
    /// The team to which it is charged in a contended pool.
    pub(crate) team_index: TeamIndex,
}

/// One execution of a task on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) task: TaskId,
    /// Its job, if that was known when the attempt was added.
    pub(crate) job: Option<JobKey>,
    pub(crate) attempt: AttemptNumber,
    pub(crate) worker: WorkerKey,
    /// Start of the life of its worker that has reported it or, before that, to which its start
    /// command was sent, in milliseconds since 1970.
    pub(crate) life: u64,
    /// What it takes; `None` if that is not known, as an earlier leader started it and
    /// this one does not know its job or its step.
    pub(crate) usage: Option<Usage>,
    pub(crate) phase: Phase,
    /// When the start command was sent, or the running attempt was found.
    pub(crate) started: Instant,
    /// Whether an earlier leader started it. It is older than `started` says, and nobody
    /// knows by how much.
    pub(crate) adopted: bool,
    /// Reading of the worker's clock in milliseconds after which the start
    /// command cannot take effect: its deadline plus `WORKER_CLOCK_MARGIN`.
    pub(crate) expires_ms: u64,
    /// Whether a poll of its worker was open when its start command was sent.
    pub(crate) watched: bool,
    /// When the worker first confirmed it.
    pub(crate) confirmed: Option<Instant>,
    /// Whether a report, or the clock in the answer to its start, has shown that the present
    /// incarnation of its worker runs it. The answer to a command does not name the incarnation.
    pub(crate) reported: bool,
    /// When the last stop command was sent, and when one was answered.
    pub(crate) stop_sent: Option<Instant>,
    pub(crate) stop_answered: Option<Instant>,
    /// Whether only an answered stop resolves it: the worker restarted, and its
    /// clock no longer shows whether the start command has expired.
    pub(crate) needs_stop: bool,
    pub(crate) checkpoint: Checkpoint,
    /// Progress in percent, and when it last changed.
    pub(crate) percent: u8,
    pub(crate) last_progress: Instant,
    /// Whether this leader started it and it began without a checkpoint, so that its
    /// duration is that of the whole task.
    pub(crate) complete_run: bool,
    /// Whether it is several times slower than others of its step.
    pub(crate) slow: bool,
    /// Rough load reported by the worker: tail of response times in
    /// milliseconds, or cores in use.
    pub(crate) gauge: f64,
    /// Share of full speed that it was told to keep to, in percent.
    pub(crate) speed_percent: u8,
    /// When that share was last changed.
    pub(crate) speed_changed: Option<Instant>,
}

impl Attempt {
    /// Whether the worker confirmed it and it was not told to stop.
    pub(crate) fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }

    /// Whether its start command is still to be sent, or to be answered.
    pub(crate) fn is_unanswered(&self) -> bool {
        matches!(self.phase, Phase::Listing | Phase::Starting)
    }

    /// Whether only an answer to a command shows that it runs, and its worker is known to
    /// have started again since.
    pub(crate) fn is_in_doubt(&self, known_since: Instant) -> bool {
        !self.reported && self.confirmed.is_some_and(|at| at <= known_since)
    }

    /// Whether a life of its worker that nobody has seen may have carried out its start command,
    /// which has no answer.
    pub(crate) fn may_have_begun(&self) -> bool {
        let is_unanswered = matches!(self.phase, Phase::Starting | Phase::Unresolved);
        is_unanswered && !self.watched && !self.needs_stop
    }

    /// Returns the time since its start command; `None` if that is not known.
    pub(crate) fn known_age(&self, now: Instant) -> Option<Duration> {
        (!self.adopted).then(|| now.saturating_duration_since(self.started))
    }
}
