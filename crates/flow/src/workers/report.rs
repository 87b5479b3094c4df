//! What a worker reports about its attempts.

use derive_more::Display;
use vg_base::prelude::*;

use crate::{AttemptNumber, TaskId};

/// Answer of a worker to a poll.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Start of the incarnation that answers in milliseconds since 1970; `None`
    /// if the worker does not report it.
    pub start_ms: Option<u64>,
    /// Reading of its clock in milliseconds.
    pub clock_ms: u64,
    /// Attempts that run.
    pub running: Vec<RunningAttempt>,
    /// Ends that are not acknowledged yet, in the order of their numbers.
    pub ended: Vec<EndedAttempt>,
}

/// An attempt that runs on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningAttempt {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Progress in percent; 100 for a continuous task that is serving.
    pub percent: u8,
    /// Tail of response times in milliseconds for a latency-sensitive task,
    /// else cores in use.
    pub gauge: f64,
}

/// An attempt that ended on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Number of the end in the worker's incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AttemptOutcome {
    /// It completed the task.
    #[display("done")]
    Done,
    /// It failed, because of the task or of the worker.
    #[display("failed")]
    Failed,
    /// It was told to stop.
    #[display("stopped")]
    Stopped,
    /// The worker's lease expired.
    #[display("lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[display("broken")]
    GangBroken,
    /// The other members of its gang did not start.
    #[display("alone")]
    GangIncomplete,
}
