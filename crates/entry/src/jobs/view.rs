//! A job as callers see it.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_jobs::{Job, JobState};

/// A job as callers see it. It shows only what is proven and durable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobView {
    /// Its id.
    pub(crate) id: JobIdText,
    /// Its queue.
    pub(crate) queue: QueueId,
    /// Its team.
    pub(crate) team: TeamId,
    /// Its state as a single word.
    pub(crate) state: SmolStr,
    /// Number of the current or last attempt.
    pub(crate) attempt: u64,
    /// Exit code of a job that is done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) exit: Option<i32>,
    /// Why a job failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) cause: Option<String>,
    /// Whether the state is final.
    pub(crate) ended: bool,
}

/// A job id in hexadecimal form, as used in URLs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct JobIdText(SmolStr);

impl JobView {
    /// Returns the view of a job, or `None` if its acceptance is not durable.
    pub(crate) fn of(job: &Job) -> Option<JobView> {
        let state = job.visible_state()?;
        let (word, exit, cause) = match state {
            JobState::Done { exit } => ("done", Some(exit), None),
            JobState::Failed { cause } => ("failed", None, Some(cause.to_string())),
            JobState::Queued => ("queued", None, None),
            JobState::Placed => ("placed", None, None),
            JobState::Starting => ("starting", None, None),
            JobState::Running => ("running", None, None),
            JobState::Checkpointing => ("checkpointing", None, None),
            JobState::Stopped => ("stopped", None, None),
            JobState::Cancelled => ("cancelled", None, None),
            JobState::Unknown => ("unknown", None, None),
            JobState::CannotRun => ("cannot-run", None, None),
        };
        Some(JobView {
            id: JobIdText(smol_str::format_smolstr!("{}", job.id())),
            queue: job.spec().queue.clone(),
            team: job.spec().team.clone(),
            state: SmolStr::new_static(word),
            attempt: u64::from(job.attempt().0),
            exit,
            cause,
            ended: state.is_final(),
        })
    }
}
