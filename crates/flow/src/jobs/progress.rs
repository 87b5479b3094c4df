//! Durable progress of a job.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use vg_base::prelude::*;

use crate::CrashMark;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
pub enum JobOutcome {
    /// All its tasks are done.
    #[display("done")]
    Done,
    /// A task failed as often as its queue allows, or workers crash under it.
    #[display("failed")]
    Failed,
    /// A caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

/// Durable progress of a job that has not ended.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// All occurrences below this number are done.
    pub closed: u32,
    /// Occurrences that were opened and are not done.
    #[serde(rename = "rounds")]
    pub occurrences: Vec<OccurrenceProgress>,
    /// Number of the next occurrence to open. Occurrences below it that are not listed are
    /// done. `None` in records of earlier versions: it then follows the last one listed.
    #[serde(default)]
    pub next: Option<u32>,
    /// Pools in which its tasks may have started; the last one is where they are to start.
    /// Empty if that is only the one in the job's terms.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<PoolId>,
    /// Whether none of its tasks has started.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub queued: bool,
}

impl Progress {
    /// Returns the number of the next occurrence to open.
    pub(crate) fn next_occurrence(&self) -> u32 {
        let listed = self.occurrences.iter().map(|each| each.occurrence.saturating_add(1));
        listed.chain(self.next).chain([self.closed]).max().unwrap_or_default()
    }

    /// Drops half of the checkpoints of each occurrence, for a store that takes no larger
    /// record: their tasks start from the beginning after a takeover. Returns whether there
    /// were any.
    pub fn drop_checkpoints(&mut self) -> bool {
        let mut dropped = false;
        for each in &mut self.occurrences {
            dropped |= !each.checkpoints.is_empty();
            each.checkpoints.truncate(each.checkpoints.len() / 2);
        }
        dropped
    }
}

/// Durable progress of one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Number of the occurrence.
    #[serde(rename = "round")]
    pub occurrence: u32,
    /// Tasks that are done, by step and index.
    pub done: Vec<(u16, u32)>,
    /// Failed attempts by step, task index and attempt number. The number
    /// distinguishes a failure that is reported twice from a second failure.
    pub failed: Vec<(u16, u32, u64)>,
    /// Workers that crashed under tasks that are not done, by step and task index.
    #[serde(default)]
    pub crashes: Vec<(u16, u32, CrashMark)>,
    /// Last checkpoints of tasks that are not done, by step and task index.
    #[serde(rename = "saved")]
    pub checkpoints: Vec<(u16, u32, SmolStr)>,
}
