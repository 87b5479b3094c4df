//! Effects that wait until a change is durable.

use vg_base::prelude::*;

use crate::job::JobKey;
use crate::{Attempt, JobState, Task};

/// An effect that may be carried out once the change that it belongs to is durable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Acknowledges the job.
    Accept(JobKey),
    /// Publishes the state.
    Publish(JobKey, JobState),
    /// Sends the start of the attempt.
    Start(JobKey, Attempt),
    /// Asks the worker to stop the attempt.
    Stop(JobKey, Attempt),
    /// Acknowledges the cancellation.
    Cancel(JobId),
    /// Allows the worker to forget the attempt.
    Forget(Task),
}
