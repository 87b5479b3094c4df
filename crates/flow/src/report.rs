//! What a worker says of its runs.

use derive_more::Display;
use vg_base::prelude::*;

use crate::{AttemptNumber, TaskId};

/// Answer of a worker to a renewal of its lease.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Start of the life that answers; none if it doesn't say.
    pub start_ms: Option<u64>,
    /// Reading of its clock in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningAttempt>,
    /// Ends that were not acknowledged yet, in the order of their numbers.
    pub ended: Vec<EndedAttempt>,
}

/// A run that is on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningAttempt {
    /// The task.
    pub task: TaskId,
    /// The start.
    pub attempt: AttemptNumber,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Progress; 100 for a lasting task that is at work.
    pub percent: u8,
    /// Tail of response times in ms of a serving task, else cores in use.
    pub gauge: f64,
}

/// A run that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Number of the end in the worker's life, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The start.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AttemptOutcome {
    /// Its work is done.
    #[display("done")]
    Done,
    /// It failed, by its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// It was told to stop.
    #[display("stopped")]
    Stopped,
    /// The worker's lease lapsed.
    #[display("lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[display("broken")]
    GangBroken,
    /// The other members of its gang did not come.
    #[display("alone")]
    GangIncomplete,
}
