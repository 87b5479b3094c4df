//! Submission of jobs.

use std::sync::Arc;

use snafu::{ResultExt, Snafu, ensure};
use vg_base::prelude::*;

use super::{Effect, Shard};
use crate::journal::Record;
use crate::{Attempt, Job, JobSpec, JobState, Now, Resources, SpecError};

/// Result of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is staged. [`Action::Accepted`](crate::Action::Accepted) follows
    /// when it is durable.
    Staged,
    /// The same job was submitted before and is not durable yet.
    Pending,
    /// The same job was accepted before and has this state.
    AlreadyAccepted(JobState),
}

/// Reason why a job was rejected. A rejected job is never run.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    /// The specification of the job is invalid.
    #[snafu(display("{source}"))]
    Malformed {
        /// What is wrong with the specification.
        source: SpecError,
    },
    /// The id belongs to a different job.
    #[snafu(display("another job has this id"))]
    IdTaken,
    /// No host of the pool could hold the job, even if the host were empty.
    #[snafu(display("no host of the pool could hold the job"))]
    CannotRun,
    /// Too many jobs are open.
    #[snafu(display("{open} jobs are open, no more are taken"))]
    TooManyJobs {
        /// Number of open jobs.
        open: usize,
    },
    /// The store does not keep up.
    #[snafu(display("the store does not keep up, try again later"))]
    StoreBusy,
    /// Another entry host owns the pool.
    #[snafu(display("another entry host owns the pool"))]
    NotOwner,
}

impl Shard {
    /// Submits a job, which is acknowledged when it is durable.
    ///
    /// A second submission with the same id and specification is the same job.
    ///
    /// # Errors
    ///
    /// Returns an error if the job is rejected. It is not run then.
    pub fn submit(
        &mut self,
        id: JobId,
        spec: JobSpec,
        now: Now,
    ) -> Result<SubmitOutcome, SubmitError> {
        if let Some(job) = self.job(id) {
            ensure!(*job.spec == spec, IdTakenSnafu);
            return Ok(job
                .last_durable
                .map_or(SubmitOutcome::Pending, SubmitOutcome::AlreadyAccepted));
        }
        self.check_submission(&spec)?;
        let record = Record::Accepted { job: id, spec: spec.clone(), at: now.wall };
        let staged = self.journal.stage(record, now.mono);
        let accepted = staged.map_err(|_| StoreBusySnafu.build())?;
        let key = self.jobs.insert(Job {
            id,
            spec: Arc::new(spec),
            accepted,
            state: JobState::Queued,
            last_durable: None,
            attempt: Attempt::NONE,
            instance: None,
            worker: None,
            start_sent: false,
            expires: now.wall,
            failures: 0,
            failed_on: Vec::new(),
            cancel_requested: false,
            unresolved: false,
            checkpoint: None,
            no_checkpoint: false,
            reserved: Resources::ZERO,
            peak_usage: Resources::ZERO,
            throttle: None,
            state_since: now.mono,
            unanswered: 0,
            last_message: now.mono,
            changed: now.wall,
        });
        self.ids.insert(id, key);
        self.effects.push_back((accepted, Effect::Accept(key)));
        self.lanes.insert(key, &self.jobs[key]);
        Ok(SubmitOutcome::Staged)
    }

    /// Checks that a new job can be accepted.
    fn check_submission(&self, spec: &JobSpec) -> Result<(), SubmitError> {
        ensure!(!self.journal.is_fenced(), NotOwnerSnafu);
        spec.validate().context(MalformedSnafu)?;
        ensure!(self.workers.could_hold(&spec.size), CannotRunSnafu);
        let open = self.open_jobs();
        ensure!(open < self.limits.max_open_jobs, TooManyJobsSnafu { open });
        ensure!(self.journal.staged_bytes() < self.limits.max_staged_bytes, StoreBusySnafu);
        Ok(())
    }
}
