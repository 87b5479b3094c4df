//! Jobs that this host has written or may have written.

use std::collections::{HashMap, HashSet, VecDeque};

use vg_base::prelude::*;

/// Time after which a write whose answer was lost can no longer take effect in
/// the store.
const UNRESOLVED_MAX_AGE: Duration = Duration::from_secs(60);
/// Maximum number of jobs; the oldest is evicted first.
const UNRESOLVED_JOBS_MAX: usize = 4096;
/// Maximum number of accepted jobs that a host remembers; the oldest is forgotten first.
const ACCEPTED_JOBS_MAX: usize = 20_000;

/// Names one write of a job, so that a call that knows its own write to have had no effect
/// does not forget that of another call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WriteNumber(u64);

/// Jobs that this host may have written, with the last write of each and its time.
#[derive(Debug, Default)]
pub(crate) struct UnresolvedWrites {
    sent: HashMap<JobId, (Instant, WriteNumber)>,
    last: u64,
}

impl UnresolvedWrites {
    /// Whether a write of the job may still take effect or may have taken
    /// effect.
    pub(crate) fn contains(&self, job: JobId, now: Instant) -> bool {
        self.sent.get(&job).is_some_and(|(at, _)| is_recent(*at, now))
    }

    /// Returns the number of jobs of which a write may still take effect.
    pub(crate) fn len(&self, now: Instant) -> usize {
        self.sent.values().filter(|(at, _)| is_recent(*at, now)).count()
    }

    /// Notes that a write of the job is being sent.
    pub(crate) fn insert(&mut self, job: JobId, now: Instant) -> WriteNumber {
        if self.sent.len() >= UNRESOLVED_JOBS_MAX {
            self.sent.retain(|_, (at, _)| is_recent(*at, now));
        }
        if self.sent.len() >= UNRESOLVED_JOBS_MAX
            && let Some(oldest) =
                self.sent.iter().min_by_key(|(_, sent)| sent.0).map(|(job, _)| *job)
        {
            self.sent.remove(&oldest);
        }
        self.last += 1;
        let number = WriteNumber(self.last);
        self.sent.insert(job, (now, number));
        number
    }

    /// Notes that the outcome of all writes of the job is known.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.sent.remove(&job);
    }

    /// Notes that a write had no effect and no earlier one may take effect. A later write, of
    /// another call, still may.
    pub(crate) fn remove_write(&mut self, job: JobId, number: WriteNumber) {
        if self.sent.get(&job).is_some_and(|(_, last)| *last == number) {
            self.sent.remove(&job);
        }
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < UNRESOLVED_MAX_AGE
}

/// Jobs that this host knows to be durable since a short time ago. A caller may send one again
/// when no host reaches the store.
#[derive(Debug, Default)]
pub(crate) struct AcceptedJobs {
    jobs: HashSet<JobId>,
    order: VecDeque<JobId>,
}

impl AcceptedJobs {
    pub(crate) fn insert(&mut self, job: JobId) {
        if !self.jobs.insert(job) {
            return;
        }
        self.order.push_back(job);
        if self.order.len() > ACCEPTED_JOBS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }

    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.jobs.contains(&job)
    }
}
