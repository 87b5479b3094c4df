//! Cancellations, one or a wave of them.

use vg_base::prelude::*;

use super::{Effect, Shard};
use crate::job::JobKey;
use crate::{JobState, Now};

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// Staged; [`Action::CancelAccepted`](crate::Action::CancelAccepted) follows when
    /// it is durable. A running job is then stopped, unless it ends first.
    Staged,
    /// The job has ended already.
    Finished(JobState),
    /// No such job is known.
    UnknownJob,
}

impl Shard {
    /// Cancels jobs. A wave of them costs as many batches as its records fill,
    /// not one for each job.
    pub fn cancel(&mut self, jobs: &[JobId], now: Now) -> Vec<CancelOutcome> {
        jobs.iter().map(|&job| self.cancel_one(job, now)).collect()
    }

    fn cancel_one(&mut self, id: JobId, now: Now) -> CancelOutcome {
        let Some(&key) = self.ids.get(&id) else { return CancelOutcome::UnknownJob };
        let job = &mut self.jobs[key];
        if job.state.is_final() {
            return CancelOutcome::Finished(job.state);
        }
        job.cancel = true;
        if job.state.is_live() && job.sent {
            let attempt = job.attempt;
            self.persist(key, Some(Effect::Stop(key, attempt)), now);
        } else {
            // No start has left: the job surely never runs.
            self.end(key, JobState::Cancelled, now);
        }
        self.acknowledge(id);
        CancelOutcome::Staged
    }

    fn acknowledge(&mut self, id: JobId) {
        if let Some(&(serial, _)) = self.effects.back() {
            self.effects.push_back((serial, Effect::Cancel(id)));
        }
    }

    /// Whether a live job is to be stopped.
    pub(super) fn is_cancelled(&self, key: JobKey) -> bool {
        self.jobs.get(key).is_some_and(|job| job.cancel && job.state.is_live())
    }
}
