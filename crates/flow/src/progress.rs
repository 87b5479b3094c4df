//! What is kept of a job's progress.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// All its tasks are done.
    #[display("done")]
    Done,
    /// A task failed as often as its queue allows.
    #[display("failed")]
    Failed,
    /// A caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

/// Durable progress of a job that has not ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Occurrences below this one are done.
    pub closed: u32,
    /// Those that have begun.
    #[serde(rename = "rounds")]
    pub occurrences: Vec<OccurrenceProgress>,
}

/// Durable progress of one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// The occurrence.
    #[serde(rename = "round")]
    pub occurrence: u32,
    /// Tasks that are done, by step and index.
    pub done: Vec<(u16, u32)>,
    /// Failed runs, by step, index and run number. The number tells a failure
    /// that is reported twice from a second failure.
    pub failed: Vec<(u16, u32, u64)>,
    /// Last checkpoints of tasks that are not done.
    #[serde(rename = "saved")]
    pub checkpoints: Vec<(u16, u32, SmolStr)>,
}
