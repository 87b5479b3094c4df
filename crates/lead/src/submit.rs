//! Submission of jobs by callers.

use std::sync::Arc;

use futures_util::future::join_all;
use rand::Rng;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::JobSpec;
use vg_store::{Error, Store, Txn, TxnOutcome};

use crate::admit::Refusal;
use crate::codec::encode;
use crate::host::lock;
use crate::messages::{
    DurableJob, JobQuery, RelayRequest, StatusReply, UnresolvedAnswer, WriteOutcome,
};
use crate::retry::{LOCAL_RETRY_LIMIT, answer_deadline};
use crate::{Host, Platform, keys};

/// Delay before a write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without an answer of the store after which no more writes are sent to
/// it for callers.
const STORE_SILENCE_MAX: Duration = Duration::from_millis(1500);
/// Label of rejected jobs in the metrics.
const HOPELESS: &str = "hopeless";
/// Number of peers that are asked to write a job.
const RELAY_PEERS_MAX: usize = 2;

/// The outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is durable and will run.
    Accepted,
    /// The job is not durable and never will be; the caller may retry after
    /// this time.
    Refused(Duration),
    /// The job may be durable. Submitting the same job again is safe.
    Unknown,
}

/// Range in seconds of the time after which refused callers may retry. The time
/// is random, so that callers don't all return at once when the store is back.
const RETRY_AFTER_S: std::ops::RangeInclusive<u64> = 1..=2;

impl<P: Platform, C: Clock> Host<P, C> {
    /// Makes a job durable and notifies the leader.
    pub async fn submit(&self, job: JobId, spec: JobSpec, deadline: Instant) -> SubmitOutcome {
        let spec = Arc::new(spec);
        let deadline = answer_deadline(deadline);
        let (answer, label) = match self.refusal(job, &spec).await {
            Some(Refusal::Overload(retry_after)) => {
                (SubmitOutcome::Refused(retry_after), "overload")
            }
            Some(Refusal::Hopeless(retry_after)) => (SubmitOutcome::Refused(retry_after), HOPELESS),
            None => match self.write_or_relay(job, &spec, deadline).await {
                WriteOutcome::Durable => (SubmitOutcome::Accepted, "accepted"),
                WriteOutcome::Rejected => (SubmitOutcome::Refused(random_retry_after()), "not-run"),
                WriteOutcome::Unknown => (SubmitOutcome::Unknown, "unknown"),
            },
        };
        self.inner.metrics.count_submission(label);
        // Rejections have an event of their own, whose rate is limited.
        if answer != SubmitOutcome::Accepted && label != HOPELESS {
            let fields = [Field::new("job", job), Field::new("outcome", label)];
            self.record(Code::JobRefused, fields);
        }
        answer
    }

    /// Refuses new jobs for this time, as the leader asked.
    pub(crate) fn refuse_jobs_for(&self, time: Option<Duration>) {
        let Some(time) = time else { return };
        let until = self.inner.clock.now() + time;
        let mut refusing = lock(&self.inner.refusing_until);
        if refusing.is_none_or(|before| before < until) {
            *refusing = Some(until);
        }
    }

    /// Writes a job directly or through peers. Returns
    /// [`WriteOutcome::Unknown`] if the outcome is not known at `deadline`: the
    /// job may have been written.
    async fn write_or_relay(
        &self,
        job: JobId,
        spec: &Arc<JobSpec>,
        deadline: Instant,
    ) -> WriteOutcome {
        let remaining = deadline.saturating_duration_since(self.inner.clock.now());
        let outcome =
            tokio::time::timeout(remaining, self.try_write_or_relay(job, spec, deadline)).await;
        outcome.unwrap_or(WriteOutcome::Unknown)
    }

    /// Writes a job directly, then alternately through peers and directly until
    /// the outcome is known or `deadline` has passed.
    async fn try_write_or_relay(
        &self,
        job: JobId,
        spec: &Arc<JobSpec>,
        deadline: Instant,
    ) -> WriteOutcome {
        let local_deadline = self.inner.clock.now() + LOCAL_RETRY_LIMIT;
        let mut outcome = self.write_job(job, spec, local_deadline.min(deadline)).await;
        while outcome != WriteOutcome::Durable && self.inner.clock.now() < deadline {
            let relay_outcome = self.relay(job, spec).await;
            // Once a write may have taken effect, only a confirmed write makes
            // the outcome known.
            outcome = match (outcome, relay_outcome) {
                (_, WriteOutcome::Durable) => WriteOutcome::Durable,
                (WriteOutcome::Rejected, WriteOutcome::Rejected) => {
                    return self.confirm_rejected(job).await;
                }
                _ => WriteOutcome::Unknown,
            };
            if outcome == WriteOutcome::Unknown {
                // While the store does not answer, neither this host nor its
                // peers can learn the outcome.
                if self.is_store_silent() {
                    return WriteOutcome::Unknown;
                }
                tokio::time::sleep(RETRY_DELAY).await;
                if self.write_job(job, spec, deadline).await == WriteOutcome::Durable {
                    outcome = WriteOutcome::Durable;
                }
            }
        }
        outcome
    }

    /// Asks up to [`RELAY_PEERS_MAX`] peers, one after the other, to write a
    /// job. A peer that was not reached cannot have written it.
    async fn relay(&self, job: JobId, spec: &Arc<JobSpec>) -> WriteOutcome {
        let mut outcome = WriteOutcome::Rejected;
        for addr in self.pick_peers(RELAY_PEERS_MAX) {
            let message = RelayRequest { job, spec: Arc::clone(spec) };
            match self.ask_peer(addr, "relay", &message).await {
                Ok(WriteOutcome::Durable) => return WriteOutcome::Durable,
                Ok(WriteOutcome::Rejected) => {}
                Ok(WriteOutcome::Unknown) => outcome = WriteOutcome::Unknown,
                Err(error) if error.is_not_sent() => {}
                Err(_) => outcome = WriteOutcome::Unknown,
            }
        }
        outcome
    }

    /// Writes a job to the store until it is known to be durable, known not to
    /// be written, or `deadline` has passed.
    pub(crate) async fn write_job(
        &self,
        job: JobId,
        spec: &Arc<JobSpec>,
        deadline: Instant,
    ) -> WriteOutcome {
        let Some(value) = encode(spec.as_ref()) else { return WriteOutcome::Rejected };
        // An earlier write of the same job may still take effect.
        let mut outcome = match self.is_unresolved(job) {
            true => WriteOutcome::Unknown,
            false => WriteOutcome::Rejected,
        };
        loop {
            if self.is_store_silent() {
                return outcome;
            }
            lock(&self.inner.unresolved).insert(job, self.inner.clock.now());
            let txn = Txn::new()
                .expect(keys::job(job), None)
                .expect(keys::outcome(job), None)
                .put(keys::job(job), value.clone());
            match self.store().commit(txn).await {
                Ok(TxnOutcome::Committed { revision }) => {
                    self.record_store_answer();
                    lock(&self.inner.unresolved).remove(job);
                    self.announce_accepted(job, revision.0 as u64, spec);
                    return WriteOutcome::Durable;
                }
                // A job id is used for one job only, so an existing record
                // means that the same job was written before.
                Ok(TxnOutcome::Conflict { found }) => {
                    self.record_store_answer();
                    lock(&self.inner.unresolved).remove(job);
                    let entry = found.iter().find(|entry| entry.key == keys::job(job));
                    if let Some(entry) = entry
                        && outcome == WriteOutcome::Unknown
                    {
                        self.announce_accepted(job, entry.modified.0 as u64, spec);
                    }
                    return WriteOutcome::Durable;
                }
                Err(Error::Refused { reason }) => {
                    log::warn!(target: "store", "the store refused to write job {job}: {reason}");
                    self.forget_rejected(job, outcome);
                    return outcome;
                }
                Err(error) if !error.had_no_effect() => outcome = WriteOutcome::Unknown,
                Err(_) => self.forget_rejected(job, outcome),
            }
            if self.inner.clock.now() + RETRY_DELAY >= deadline {
                return outcome;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Removes a job from the unresolved writes if none of its writes had an
    /// effect.
    fn forget_rejected(&self, job: JobId, outcome: WriteOutcome) {
        if outcome == WriteOutcome::Rejected {
            lock(&self.inner.unresolved).remove(job);
        }
    }

    /// Whether this host has sent a write of the job whose outcome is not
    /// known.
    pub(crate) fn is_unresolved(&self, job: JobId) -> bool {
        lock(&self.inner.unresolved).contains(job, self.inner.clock.now())
    }

    /// Asks all peers whether they have sent a write of a job that this host
    /// knows not to be written: the caller may have submitted the same job to
    /// another host before. Returns [`WriteOutcome::Rejected`] only if no peer
    /// that answers has sent one.
    pub(crate) async fn confirm_rejected(&self, job: JobId) -> WriteOutcome {
        let peers = self.pick_peers(usize::MAX);
        let query = JobQuery { job };
        let queries = peers.iter().map(|&addr| self.ask_peer(addr, "unsettled", &query));
        let answers: Vec<Result<UnresolvedAnswer, _>> = join_all(queries).await;
        match answers.into_iter().flatten().any(|answer| answer.unresolved) {
            true => WriteOutcome::Unknown,
            false => WriteOutcome::Rejected,
        }
    }

    /// Whether the store has not answered for so long that the outcome of a
    /// write would stay unknown to its caller. The renewals of the host's lease
    /// show when the store is back.
    fn is_store_silent(&self) -> bool {
        self.store_silence() > STORE_SILENCE_MAX
    }

    /// Records that a job is durable and notifies the leader.
    fn announce_accepted(&self, job: JobId, revision: u64, spec: &Arc<JobSpec>) {
        let fields = [
            Field::new("job", job),
            Field::new("queue", &spec.queue),
            Field::new("revision", revision),
        ];
        self.record(Code::JobAccepted, fields);
        if let Some(leader) = self.leading() {
            leader.add_durable_job(job, Arc::clone(spec), revision);
            self.refuse_jobs_for(leader.refusal_time());
            return;
        }
        let has_load = lock(&self.inner.load).is_recent(&self.inner.clock);
        let message = DurableJob { job, revision, spec: Arc::clone(spec), has_load };
        self.notify_leader("handed", job, message, !has_load);
    }

    /// Returns the outcome of a finished job if it is in this host's cache.
    pub(crate) fn cached_outcome(&self, job: JobId) -> Option<StatusReply> {
        lock(&self.inner.outcomes).get(job)
    }
}

pub(crate) fn random_retry_after() -> Duration {
    Duration::from_secs(rand::rng().random_range(RETRY_AFTER_S))
}
