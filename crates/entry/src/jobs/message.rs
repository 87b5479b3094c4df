//! Requests about jobs, sent from any entry host to the owner of the pool.

use serde::{Deserialize, Serialize};
use vg_base::prelude::*;
use vg_conf::KeyDigest;
use vg_jobs::JobSpec;

use crate::jobs::JobView;
use crate::problem::Problem;

/// The operation that a pool's owner is asked to perform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum JobOperation {
    /// Accept a job.
    Submit(JobSpec),
    /// Return a job's state once the job has ended, or after a time limit.
    Show {
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Cancel a job.
    Cancel,
}

/// A request about one job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct JobRequest {
    /// The pool.
    pub(crate) pool: PoolId,
    /// Epoch of the pool's ownership as the sender knows it.
    pub(crate) epoch: Epoch,
    /// The job.
    pub(crate) job: JobId,
    /// The team that sends the request.
    pub(crate) team: TeamId,
    /// Digest of the team's key, or `None` for work on a queue that is open to all.
    pub(crate) digest: Option<KeyDigest>,
    /// The operation.
    #[serde(rename = "verb")]
    pub(crate) operation: JobOperation,
}

/// The owner's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum JobReply {
    /// The current state of the job.
    View(JobView),
    /// A refusal, or an outcome that cannot be proven.
    Problem(Problem),
}

impl From<Result<JobView, Problem>> for JobReply {
    fn from(result: Result<JobView, Problem>) -> JobReply {
        result.map_or_else(JobReply::Problem, JobReply::View)
    }
}
