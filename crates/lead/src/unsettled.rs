//! Jobs whose write was sent and neither proved nor disproved.

use std::collections::HashMap;

use vg_base::prelude::*;

/// Time within which the store may still carry out a write whose answer was
/// lost.
const KEPT: Duration = Duration::from_secs(60);
/// Most jobs that are kept; the oldest ones go first.
const JOBS_MAX: usize = 4096;

/// Jobs that a host may have written, without proof.
#[derive(Debug, Default)]
pub(crate) struct Unsettled {
    jobs: HashMap<JobId, Instant>,
}

impl Unsettled {
    /// Whether the job may have been written.
    pub(crate) fn has(&self, job: JobId, now: Instant) -> bool {
        self.jobs.get(&job).is_some_and(|at| now.saturating_duration_since(*at) < KEPT)
    }

    /// Notes that a job's write is sent.
    pub(crate) fn insert(&mut self, job: JobId, now: Instant) {
        if self.jobs.len() >= JOBS_MAX {
            self.jobs.retain(|_, at| now.saturating_duration_since(*at) < KEPT);
        }
        if self.jobs.len() >= JOBS_MAX
            && let Some(oldest) = self.jobs.iter().min_by_key(|(_, at)| **at).map(|(job, _)| *job)
        {
            self.jobs.remove(&oldest);
        }
        self.jobs.insert(job, now);
    }

    /// Notes that it is known what became of a job's writes.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }
}
