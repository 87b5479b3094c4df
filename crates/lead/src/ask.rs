//! Questions about jobs and queues.

use vg_base::prelude::*;
use vg_flow::{JobOutcome, JobSpec, JobState};
use vg_store::Store;

use crate::keys::{self, EndValue};
use crate::messages::{CancelDone, CountAnswer, CountQuery, Known, Query};
use crate::retry::{OWN_TRIES, answer_by};
use crate::{Host, Platform};

/// Pause before a question is asked again.
const PAUSE: Duration = Duration::from_millis(80);
/// Longest time that a question waits for an answer that is true.
const LONGEST: Duration = Duration::from_millis(1800);

/// What is known of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobStatus {
    /// Accepted; no task has started. With the job's team.
    Queued(Option<TeamId>),
    /// A task has started.
    Running(Option<TeamId>),
    /// It has ended.
    Finished(Option<TeamId>, JobOutcome),
    /// There is no such job.
    Absent,
    /// Nothing can be said now.
    Unknown,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It is durable: no task starts any more.
    Cancelled,
    /// There is no such job that could be cancelled.
    Absent,
    /// Nothing can be said now.
    Unknown,
}

/// Number of a queue's jobs that have not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingCount {
    /// The number.
    Known(usize),
    /// Nothing can be said now.
    Unknown,
}

impl From<Known> for JobStatus {
    fn from(known: Known) -> JobStatus {
        match known {
            Known::Queued(team) => JobStatus::Queued(team),
            Known::Running(team) => JobStatus::Running(team),
            Known::Ended(team, how) => JobStatus::Finished(team, how),
            Known::Absent => JobStatus::Absent,
            Known::Unknown => JobStatus::Unknown,
        }
    }
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Returns the state of a job: what the leader knows, else what the store
    /// has, else what a peer can tell.
    pub async fn job_status(&self, job: JobId, deadline: Instant) -> JobStatus {
        let deadline = self.limit(deadline);
        loop {
            let known = self.state_once(job).await;
            if known != Known::Unknown || self.inner.clock.now() + PAUSE >= deadline {
                return known.into();
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn limit(&self, deadline: Instant) -> Instant {
        let own = self.inner.clock.now() + LONGEST;
        answer_by(deadline).min(own)
    }

    async fn state_once(&self, job: JobId) -> Known {
        if let Some(known) = self.known_end(job) {
            return known;
        }
        let mut asked = None;
        if self.leading().is_none()
            && let Some(addr) = self.leader_addr()
        {
            asked = Some(addr);
            let known = self.ask_peer(addr, "state", &Query { job }).await;
            if let Ok(known) = known
                && known != Known::Unknown
            {
                return self.keep(job, known);
            }
        }
        let known = self.own_state(job).await;
        if known != Known::Unknown {
            return self.keep(job, known);
        }
        for addr in self.some_peers(3) {
            if Some(addr) == asked {
                continue;
            }
            if let Ok(known) = self.ask_peer(addr, "state", &Query { job }).await
                && known != Known::Unknown
            {
                return self.keep(job, known);
            }
        }
        Known::Unknown
    }

    fn keep(&self, job: JobId, known: Known) -> Known {
        if let Known::Ended(team, how) = &known {
            self.remember_end(job, team.clone(), *how);
        }
        known
    }

    /// Returns the state of a job from this host's memory and the store.
    pub(crate) async fn own_state(&self, job: JobId) -> Known {
        if let Some(known) = self.known_end(job) {
            return known;
        }
        if let Some(leader) = self.leading()
            && let Some((state, team)) = leader.state(job)
        {
            return match state {
                JobState::Queued => Known::Queued(team),
                JobState::Running => Known::Running(team),
                JobState::Ended(how) => Known::Ended(team, how),
            };
        }
        self.stored_state(job).await.unwrap_or(Known::Unknown)
    }

    async fn stored_state(&self, job: JobId) -> Result<Known, vg_store::Error> {
        let store = self.store();
        // A job's end is written in the same change that removes the job, so
        // that one of the two is found in this order.
        if let Some(entry) = store.get(&keys::job(job)).await? {
            let Some(spec) = self.decode::<JobSpec>(&entry) else { return Ok(Known::Unknown) };
            if store.get(&keys::cancel(job)).await?.is_some() {
                return Ok(Known::Ended(spec.team, JobOutcome::Cancelled));
            }
            let began = store.get(&keys::progress(job)).await?.is_some();
            return Ok(if began { Known::Running(spec.team) } else { Known::Queued(spec.team) });
        }
        let Some(entry) = store.get(&keys::end(job)).await? else { return Ok(Known::Absent) };
        Ok(match self.decode::<EndValue>(&entry) {
            Some(value) => Known::Ended(value.team, value.how),
            None => Known::Unknown,
        })
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: JobId, deadline: Instant) -> CancelOutcome {
        let deadline = answer_by(deadline);
        let own = deadline.min(self.inner.clock.now() + OWN_TRIES);
        let mut done = self.write_cancel(job, own).await;
        if done == CancelDone::Unknown {
            for addr in self.some_peers(2) {
                if let Ok(answer) = self.ask_peer(addr, "cancel", &Query { job }).await {
                    done = answer;
                }
                if done != CancelDone::Unknown {
                    break;
                }
            }
        }
        if done == CancelDone::Unknown {
            done = self.write_cancel(job, deadline).await;
        }
        match done {
            CancelDone::Durable => CancelOutcome::Cancelled,
            CancelDone::Absent => CancelOutcome::Absent,
            CancelDone::Unknown => CancelOutcome::Unknown,
        }
    }

    /// Returns the number of a queue's jobs that have not begun, as the leader
    /// knows it.
    pub async fn pending_count(&self, queue: &QueueId, deadline: Instant) -> PendingCount {
        let deadline = self.limit(deadline);
        loop {
            if let Some(leader) = self.leading() {
                if let Some(pending) = leader.pending(queue) {
                    return PendingCount::Known(pending);
                }
            } else if let Some(addr) = self.leader_addr() {
                let query = CountQuery { queue: queue.clone() };
                let answer: Result<CountAnswer, _> = self.ask_peer(addr, "pending", &query).await;
                if let Ok(CountAnswer { pending: Some(pending) }) = answer {
                    return PendingCount::Known(pending);
                }
            }
            if self.inner.clock.now() + PAUSE >= deadline {
                return PendingCount::Unknown;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
}
