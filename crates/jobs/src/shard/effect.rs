//! What waits for a change to become durable.

use vg_base::prelude::*;

use crate::job::JobKey;
use crate::{Attempt, JobState, Task};

/// Something that may be done once the change that it stands with is durable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Acknowledge the job.
    Accept(JobKey),
    /// Show the state.
    Show(JobKey, JobState),
    /// Send the attempt's start.
    Start(JobKey, Attempt),
    /// Ask the worker to stop the attempt.
    Stop(JobKey, Attempt),
    /// Acknowledge the cancellation.
    Cancel(JobId),
    /// Let the worker forget the attempt.
    Release(Task),
}
