//! One start of a task on one worker.

use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::worker::WorkerKey;
use crate::{AttemptNumber, TaskId};

slotmap::new_key_type! {
    /// Key of a run in its table.
    pub struct AttemptKey;
}

/// How far a run is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start was sent and not answered yet.
    Starting,
    /// The start's answer was lost: the run is there, was never there, or comes
    /// late.
    Unresolved,
    /// The worker has it.
    Running,
    /// It is to stop; `Unsure` runs stay so until they are settled.
    Stopping,
}

/// One start of a task on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) task: TaskId,
    pub(crate) attempt: AttemptNumber,
    pub(crate) worker: WorkerKey,
    pub(crate) reserved: Resources,
    /// Counted against the team's limit.
    pub(crate) need: Resources,
    pub(crate) team: Option<TeamId>,
    pub(crate) phase: Phase,
    /// When the start was sent, or the run was found.
    pub(crate) started: Instant,
    /// Time on the worker's clock after which it refuses the start.
    pub(crate) expires_ms: u64,
    /// When the worker confirmed it.
    pub(crate) confirmed: Option<Instant>,
    /// When the last order to stop was sent, and when one was answered.
    pub(crate) stop_sent: Option<Instant>,
    pub(crate) stop_answered: Option<Instant>,
    /// Whether it is settled only by an answered stop: the worker started anew
    /// and its clock no longer tells whether the start has expired.
    pub(crate) needs_stop: bool,
    pub(crate) checkpoint: SmolStr,
    /// Progress in percent and when it last changed.
    pub(crate) percent: u8,
    pub(crate) last_progress: Instant,
    /// It is several times slower than others of its step.
    pub(crate) slow: bool,
    /// Rough figure of the worker: response tail in ms, or cores in use.
    pub(crate) gauge: f64,
    /// Share of its speed that it was told to keep to, in percent.
    pub(crate) speed_percent: u8,
    /// When its pace was last changed.
    pub(crate) speed_changed: Option<Instant>,
}

impl Attempt {
    /// Whether the worker confirmed it and it was not told to stop.
    pub(crate) fn is_running(&self) -> bool {
        self.phase == Phase::Running
    }
}
