//! Ids of steps, tasks and attempts.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use vg_base::JobId;

/// One step of one occurrence of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Occurrence, from 0; always 0 for a job that does not repeat.
    #[serde(rename = "round")]
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u16,
}

/// One task of a step.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[display("{step}.{index}")]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// Position of the task in its step, from 0.
    pub index: u32,
}

/// Number of one attempt of a task; a later attempt has a higher one.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    From,
    Into,
)]
#[serde(transparent)]
pub struct AttemptNumber(pub u64);

/// Fencing token of a leader: the store's revision at which it took over.
///
/// Workers ignore commands with a lower token than they have seen.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    From,
    Into,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

/// Number of low bits of an attempt number, which count the attempts under one
/// leader.
const ATTEMPT_BITS: u32 = 12;

impl FencingToken {
    /// Returns the lowest attempt number that a leader with this token assigns.
    ///
    /// Tokens increase from leader to leader, so that attempt numbers do too
    /// without being stored.
    pub const fn first_attempt(self) -> AttemptNumber {
        AttemptNumber((self.0 << ATTEMPT_BITS) + 1)
    }

    /// Returns the number of the next attempt of a task whose highest attempt
    /// so far is `last`.
    pub(crate) fn attempt_after(self, last: AttemptNumber) -> AttemptNumber {
        AttemptNumber(last.0 + 1).max(self.first_attempt())
    }
}
