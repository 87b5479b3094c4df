//! Queries about jobs and queues, and the cancellation of jobs.

use vg_base::prelude::*;
use vg_flow::{JobOutcome, JobSpec, JobState};
use vg_store::Store;

use crate::keys::{self, OutcomeRecord};
use crate::messages::{CancelWriteOutcome, CountAnswer, CountQuery, JobQuery, StatusReply};
use crate::retry::{Callee, LOCAL_RETRY_LIMIT, answer_deadline};
use crate::{Host, Platform};

/// Delay before a query is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);
/// Maximum time for which a query is retried until the answer is known.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1800);

/// The state of a job, with the job's team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobStatus {
    /// Accepted; no task has started.
    Queued(Option<TeamId>),
    /// At least one task has started.
    Running(Option<TeamId>),
    /// Finished with this outcome.
    Finished(Option<TeamId>, JobOutcome),
    /// No such job exists.
    Absent,
    /// The state is not known now.
    Unknown,
}

/// The outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is durable: no further task starts.
    Cancelled,
    /// No job exists that could be cancelled.
    Absent,
    /// The outcome is not known; the job may have been cancelled.
    Unknown,
}

/// The number of a queue's jobs of which no task has started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingCount {
    /// The number.
    Known(usize),
    /// The number is not known now.
    Unknown,
}

impl From<StatusReply> for JobStatus {
    fn from(status: StatusReply) -> JobStatus {
        match status {
            StatusReply::Queued(team) => JobStatus::Queued(team),
            StatusReply::Running(team) => JobStatus::Running(team),
            StatusReply::Finished(team, outcome) => JobStatus::Finished(team, outcome),
            StatusReply::Absent => JobStatus::Absent,
            StatusReply::Unknown => JobStatus::Unknown,
        }
    }
}

impl<P: Platform, C: Clock> Host<P, C> {
    /// Returns the state of a job: from the leader if it knows the job,
    /// otherwise from the store, otherwise from a peer. Retries until shortly
    /// before `deadline`, for at most 1.8 s.
    pub async fn job_status(&self, job: JobId, deadline: Instant) -> JobStatus {
        let deadline = self.query_deadline(deadline);
        loop {
            let status = self.query_once(job).await;
            if status != StatusReply::Unknown {
                self.note_success(Callee::Peers);
                return status.into();
            }
            if !self.wait_to_retry(Callee::Peers, RETRY_DELAY, deadline).await {
                return status.into();
            }
        }
    }

    /// Returns when a query ends: shortly before `deadline`, and at the latest
    /// after [`QUERY_TIMEOUT`].
    fn query_deadline(&self, deadline: Instant) -> Instant {
        let local_deadline = self.inner.clock.now() + QUERY_TIMEOUT;
        answer_deadline(deadline).min(local_deadline)
    }

    /// Asks each source once: the cache of outcomes, the leader, the store,
    /// then peers.
    async fn query_once(&self, job: JobId) -> StatusReply {
        if let Some(status) = self.cached_outcome(job) {
            return status;
        }
        let mut asked = None;
        if self.leading().is_none()
            && let Some(addr) = self.leader_addr()
        {
            asked = Some(addr);
            let status = self.ask_peer(addr, "state", &JobQuery { job }).await;
            if let Ok(status) = status
                && status != StatusReply::Unknown
            {
                return self.cache_if_finished(job, status);
            }
        }
        let status = self.local_status(job).await;
        if status != StatusReply::Unknown {
            return self.cache_if_finished(job, status);
        }
        for addr in self.pick_peers(3) {
            if Some(addr) == asked {
                continue;
            }
            if let Ok(status) = self.ask_peer(addr, "state", &JobQuery { job }).await
                && status != StatusReply::Unknown
            {
                return self.cache_if_finished(job, status);
            }
        }
        StatusReply::Unknown
    }

    /// Keeps the outcome in memory if the job has finished. Returns the state. A cancelled job
    /// may still be without an outcome, which this host has to write if it leads next.
    fn cache_if_finished(&self, job: JobId, status: StatusReply) -> StatusReply {
        if let StatusReply::Finished(team, outcome) = &status
            && *outcome != JobOutcome::Cancelled
        {
            self.cache_outcome(job, team.clone(), *outcome);
        }
        status
    }

    /// Returns the state of a job from this host's memory or the store.
    pub(crate) async fn local_status(&self, job: JobId) -> StatusReply {
        if let Some(status) = self.cached_outcome(job) {
            return status;
        }
        if let Some(leader) = self.leading()
            && let Some((state, team)) = leader.state(job)
        {
            return match state {
                JobState::Queued => StatusReply::Queued(team),
                JobState::Running => StatusReply::Running(team),
                JobState::Ended(outcome) => StatusReply::Finished(team, outcome),
            };
        }
        self.stored_status(job).await.unwrap_or(StatusReply::Unknown)
    }

    /// Reads the state of a job from the store.
    async fn stored_status(&self, job: JobId) -> Result<StatusReply, vg_store::Error> {
        let store = self.store();
        // The transaction that writes a job's outcome also removes the job.
        // Reading the job before the outcome therefore finds one of them.
        if let Some(entry) = store.get(&keys::job(job)).await? {
            let Some(spec) = self.decode::<JobSpec>(&entry) else {
                return Ok(StatusReply::Unknown);
            };
            if store.get(&keys::cancel(job)).await?.is_some() {
                return Ok(StatusReply::Finished(spec.team, JobOutcome::Cancelled));
            }
            let has_started = store.get(&keys::progress(job)).await?.is_some();
            return Ok(if has_started {
                StatusReply::Running(spec.team)
            } else {
                StatusReply::Queued(spec.team)
            });
        }
        let Some(entry) = store.get(&keys::outcome(job)).await? else {
            return Ok(StatusReply::Absent);
        };
        Ok(match self.decode::<OutcomeRecord>(&entry) {
            Some(value) if value.unaccepted => StatusReply::Absent,
            Some(value) => StatusReply::Finished(value.team, value.outcome),
            None => StatusReply::Unknown,
        })
    }

    /// Cancels a job: writes the cancellation directly, then through peers,
    /// then directly again until shortly before `deadline`.
    pub async fn cancel(&self, job: JobId, deadline: Instant) -> CancelOutcome {
        let deadline = answer_deadline(deadline);
        let local_deadline = deadline.min(self.inner.clock.now() + LOCAL_RETRY_LIMIT);
        let mut outcome = self.write_cancel(job, local_deadline).await;
        if outcome == CancelWriteOutcome::Unknown {
            for addr in self.pick_peers(2) {
                if let Ok(answer) = self.ask_peer(addr, "cancel", &JobQuery { job }).await {
                    outcome = answer;
                }
                if outcome != CancelWriteOutcome::Unknown {
                    break;
                }
            }
        }
        if outcome == CancelWriteOutcome::Unknown {
            outcome = self.write_cancel(job, deadline).await;
        }
        match outcome {
            CancelWriteOutcome::Durable => CancelOutcome::Cancelled,
            CancelWriteOutcome::Absent => CancelOutcome::Absent,
            CancelWriteOutcome::Unknown => CancelOutcome::Unknown,
        }
    }

    /// Returns the number of a queue's jobs of which no task has started, as
    /// the leader knows it.
    pub async fn pending_count(&self, queue: &QueueId, deadline: Instant) -> PendingCount {
        let deadline = self.query_deadline(deadline);
        loop {
            if let Some(leader) = self.leading() {
                if let Some(pending) = leader.pending(queue) {
                    return PendingCount::Known(pending);
                }
            } else if let Some(addr) = self.leader_addr() {
                let query = CountQuery { queue: queue.clone() };
                let answer: Result<CountAnswer, _> = self.ask_peer(addr, "pending", &query).await;
                if let Ok(CountAnswer { pending: Some(pending) }) = answer {
                    self.note_success(Callee::Peers);
                    return PendingCount::Known(pending);
                }
            }
            if !self.wait_to_retry(Callee::Peers, RETRY_DELAY, deadline).await {
                return PendingCount::Unknown;
            }
        }
    }
}
