//! Cancellation of one job or of many jobs at once.

use vg_base::prelude::*;

use super::{Effect, Shard};
use crate::job::JobKey;
use crate::{JobState, Now};

/// Result of a request to cancel a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is staged.
    /// [`Action::CancelAccepted`](crate::Action::CancelAccepted) follows when it is
    /// durable. A running job is then stopped, unless it ends first.
    Staged,
    /// The job has already finished in this state.
    Finished(JobState),
    /// No open or retained job has this id.
    UnknownJob,
}

impl Shard {
    /// Cancels jobs. Many cancellations at once take only as many batches as their
    /// records fill, not one batch for each job.
    pub fn cancel(&mut self, jobs: &[JobId], now: Now) -> Vec<CancelOutcome> {
        jobs.iter().map(|&job| self.cancel_one(job, now)).collect()
    }

    fn cancel_one(&mut self, id: JobId, now: Now) -> CancelOutcome {
        let Some(&key) = self.ids.get(&id) else { return CancelOutcome::UnknownJob };
        let job = &mut self.jobs[key];
        if job.state.is_final() {
            return CancelOutcome::Finished(job.state);
        }
        job.cancel_requested = true;
        if job.state.is_live() && job.start_sent {
            let attempt = job.attempt;
            self.persist(key, Some(Effect::Stop(key, attempt)), now);
        } else {
            // No start of the attempt was sent, so the job is certain not to run.
            self.finish(key, JobState::Cancelled, now);
        }
        self.acknowledge(id);
        CancelOutcome::Staged
    }

    /// Queues the acknowledgement of a cancellation behind the last staged change.
    fn acknowledge(&mut self, id: JobId) {
        if let Some(&(serial, _)) = self.effects.back() {
            self.effects.push_back((serial, Effect::Cancel(id)));
        }
    }

    /// Whether the job is live and has to be stopped because it was cancelled.
    pub(super) fn is_cancelled(&self, key: JobKey) -> bool {
        self.jobs.get(key).is_some_and(|job| job.cancel_requested && job.state.is_live())
    }
}
