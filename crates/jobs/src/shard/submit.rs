//! Taking jobs in.

use std::sync::Arc;

use snafu::{ResultExt, Snafu, ensure};
use vg_base::prelude::*;

use super::{Effect, Shard};
use crate::journal::Record;
use crate::{Attempt, Job, JobSpec, JobState, Now, Resources, SpecError};

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// Staged; [`Action::Accepted`](crate::Action::Accepted) follows.
    Staged,
    /// The same job was submitted before and is not durable yet.
    Pending,
    /// The same job was accepted before.
    AlreadyAccepted(JobState),
}

/// Why a job is not taken. None of it runs.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SubmitError {
    /// It can't be taken as it is.
    #[snafu(display("{source}"))]
    Malformed {
        /// What is wrong with it.
        source: SpecError,
    },
    /// Its id belongs to a different job.
    #[snafu(display("another job has this id"))]
    IdTaken,
    /// No host of the pool could hold it, even empty.
    #[snafu(display("no host of the pool could hold the job"))]
    CannotRun,
    /// Too many jobs are open.
    #[snafu(display("{open} jobs are open, no more are taken"))]
    TooManyJobs {
        /// Open jobs.
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
    /// Takes a job in, to be acknowledged when it is durable.
    ///
    /// A submission that is sent again with the same id is the same job.
    ///
    /// # Errors
    ///
    /// When the job is refused: it is not run.
    pub fn submit(
        &mut self,
        id: JobId,
        spec: JobSpec,
        now: Now,
    ) -> Result<SubmitOutcome, SubmitError> {
        if let Some(job) = self.job(id) {
            ensure!(*job.spec == spec, IdTakenSnafu);
            return Ok(job.shown.map_or(SubmitOutcome::Pending, SubmitOutcome::AlreadyAccepted));
        }
        self.check(&spec)?;
        let record = Record::Accepted { job: id, spec: spec.clone(), at: now.wall };
        let staged = self.journal.stage(record, now.mono);
        let accepted = staged.map_err(|_| StoreBusySnafu.build())?;
        let key = self.jobs.insert(Job {
            id,
            spec: Arc::new(spec),
            accepted,
            state: JobState::Queued,
            shown: None,
            attempt: Attempt::NONE,
            instance: None,
            worker: None,
            sent: false,
            expires: now.wall,
            failures: 0,
            failed_on: Vec::new(),
            cancel: false,
            doubt: false,
            checkpoint: None,
            no_checkpoint: false,
            held: Resources::ZERO,
            peak: Resources::ZERO,
            throttle: None,
            since: now.mono,
            unanswered: 0,
            heard: now.mono,
            changed: now.wall,
        });
        self.ids.insert(id, key);
        self.effects.push_back((accepted, Effect::Accept(key)));
        self.lanes.insert(key, &self.jobs[key]);
        Ok(SubmitOutcome::Staged)
    }

    fn check(&self, spec: &JobSpec) -> Result<(), SubmitError> {
        ensure!(!self.journal.is_fenced(), NotOwnerSnafu);
        spec.validate().context(MalformedSnafu)?;
        ensure!(self.workers.could_hold(&spec.size), CannotRunSnafu);
        let open = self.open_jobs();
        ensure!(open < self.limits.open_jobs, TooManyJobsSnafu { open });
        ensure!(self.journal.staged_bytes() < self.limits.staged_bytes, StoreBusySnafu);
        Ok(())
    }
}
