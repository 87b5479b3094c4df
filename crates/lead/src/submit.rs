//! Submission of jobs by callers.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::join_all;
use rand::Rng;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::JobSpec;
use vg_store::{Entry, Error, Store, Txn, TxnOutcome};

use crate::admit::Refusal;
use crate::codec::encode;
use crate::host::lock;
use crate::keys::OutcomeRecord;
use crate::messages::{
    DurableJob, JobQuery, RelayRequest, StatusReply, UnresolvedAnswer, WriteOutcome,
};
use crate::retry::{Callee, LOCAL_RETRY_LIMIT, answer_deadline};
use crate::unresolved::WriteNumber;
use crate::{Host, Platform, keys};

/// Delay before a write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time for which a submission waits unsent while neither this host nor
/// its peers reach the store. A caller that waits is accepted the moment that the
/// store is back; one that was refused comes back up to a second later.
const UNSENT_WAIT_MAX: Duration = Duration::from_secs(3);
/// Time after which a submission that waits asks other peers, which doubles each time.
const RELAY_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Maximum number of submissions that wait unsent.
pub(crate) const UNSENT_MAX: usize = 256;
/// Time in which peers confirm that they have not sent a submission either.
const CONFIRM_TIME: Duration = Duration::from_millis(100);
/// Shortest time after which refused callers may retry: the answer tells it in
/// whole seconds.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Number of times that a caller is expected to retry within its deadline.
const CALLER_RETRIES: u32 = 4;
/// Label of rejected jobs in the metrics.
const HOPELESS: &str = "hopeless";
/// Number of peers that are asked to write a job before it is tried here again.
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
                WriteOutcome::Rejected => {
                    (SubmitOutcome::Refused(self.retry_after(deadline)), "not-run")
                }
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

    /// Returns when a caller may retry whose job could not be written. The retries
    /// are spread over the time that the caller has left, as it is not known when
    /// the store is back.
    fn retry_after(&self, deadline: Instant) -> Duration {
        let remaining = deadline.saturating_duration_since(self.inner.clock.now());
        let longest = RETRY_AFTER_MIN.max(remaining / CALLER_RETRIES);
        rand::rng().random_range(RETRY_AFTER_MIN..=longest)
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
        let started = self.inner.clock.now();
        let local_deadline = deadline.min(started + LOCAL_RETRY_LIMIT);
        let mut outcome = self.write_job(job, spec, local_deadline).await;
        let mut interval = RELAY_INTERVAL_MIN;
        let peers = self.pick_peers(usize::MAX);
        let mut next_peers = peers.iter().copied().cycle();
        while outcome != WriteOutcome::Durable && self.inner.clock.now() < deadline {
            let was_held = self.store().is_held();
            let asked = next_peers.by_ref().take(RELAY_PEERS_MAX.min(peers.len()));
            let relay_outcome = self.relay(job, spec, asked).await;
            // Once a write may have taken effect, only a confirmed write makes
            // the outcome known.
            outcome = match (outcome, relay_outcome) {
                (_, WriteOutcome::Durable) => WriteOutcome::Durable,
                (WriteOutcome::Rejected, WriteOutcome::Rejected) => {
                    let unsent_until = unsent_limit(started, deadline);
                    // A store that answers has refused the job.
                    if !was_held || !self.wait_unsent(interval, unsent_until).await {
                        return self.confirm_rejected(job).await;
                    }
                    interval *= 2;
                    self.write_job(job, spec, local_deadline).await
                }
                _ => {
                    // While the store does not answer, neither this host nor its
                    // peers can learn the outcome.
                    if !self.wait_until_answered(deadline).await {
                        return WriteOutcome::Unknown;
                    }
                    if !self.wait_to_retry(Callee::Store, RETRY_DELAY, deadline).await {
                        return WriteOutcome::Unknown;
                    }
                    match self.write_job(job, spec, deadline).await {
                        WriteOutcome::Durable => WriteOutcome::Durable,
                        _ => WriteOutcome::Unknown,
                    }
                }
            };
        }
        outcome
    }

    /// Waits unsent until the store answers, at most for `interval`. Returns whether
    /// the submission may be tried again, here or through other peers: it is not
    /// `limit` yet and there is a place to wait.
    async fn wait_unsent(&self, interval: Duration, limit: Instant) -> bool {
        let Ok(_place) = self.inner.unsent_places.try_acquire() else { return false };
        let until = limit.min(self.inner.clock.now() + interval);
        self.wait_until_answered(until).await || self.inner.clock.now() < limit
    }

    /// Waits until the store answers, at the latest until `limit`. Returns whether it
    /// does.
    async fn wait_until_answered(&self, limit: Instant) -> bool {
        let remaining = limit.saturating_duration_since(self.inner.clock.now());
        !remaining.is_zero() && self.store().wait_for_answers(remaining).await
    }

    /// Asks peers, one after the other, to write a job. A peer that was not
    /// reached cannot have written it.
    async fn relay(
        &self,
        job: JobId,
        spec: &Arc<JobSpec>,
        peers: impl Iterator<Item = SocketAddr>,
    ) -> WriteOutcome {
        let mut outcome = WriteOutcome::Rejected;
        for addr in peers {
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
        let mut outcome = WriteOutcome::Rejected;
        loop {
            // A write of another call, here or before, may still take effect.
            if self.is_unresolved(job) {
                outcome = WriteOutcome::Unknown;
            }
            if lock(&self.inner.accepted).contains(job) {
                return WriteOutcome::Durable;
            }
            // What is not sent can't take effect.
            if self.store().is_held() {
                return outcome;
            }
            let number = lock(&self.inner.unresolved).insert(job, self.inner.clock.now());
            let txn = Txn::new()
                .expect(keys::job(job), None)
                .expect(keys::outcome(job), None)
                .put(keys::job(job), value.clone());
            match self.store().commit(txn).await {
                Ok(TxnOutcome::Committed { revision }) => {
                    self.note_success(Callee::Store);
                    self.note_durable(job);
                    self.announce_accepted(job, revision.0 as u64, spec);
                    return WriteOutcome::Durable;
                }
                // A job id is used for one job only, so an existing record
                // means that the same job was written before.
                Ok(TxnOutcome::Conflict { found }) => {
                    if self.was_cancelled_before(job, &found) {
                        lock(&self.inner.unresolved).remove(job);
                        return WriteOutcome::Rejected;
                    }
                    self.note_durable(job);
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
                    self.forget_rejected(job, number, outcome);
                    return outcome;
                }
                Err(error) if !error.had_no_effect() => outcome = WriteOutcome::Unknown,
                Err(_) => self.forget_rejected(job, number, outcome),
            }
            if !self.wait_to_retry(Callee::Store, RETRY_DELAY, deadline).await {
                return outcome;
            }
        }
    }

    /// Whether the entries that a submission found say that the job was cancelled before it
    /// was accepted.
    fn was_cancelled_before(&self, job: JobId, found: &[Entry]) -> bool {
        let entry = found.iter().find(|entry| entry.key == keys::outcome(job));
        let record = entry.and_then(|entry| self.decode::<OutcomeRecord>(entry));
        record.is_some_and(|record| record.unaccepted)
    }

    /// Removes a job from the unresolved writes if none of its writes had an
    /// effect, and no other call has sent one since.
    fn forget_rejected(&self, job: JobId, number: WriteNumber, outcome: WriteOutcome) {
        if outcome == WriteOutcome::Rejected {
            lock(&self.inner.unresolved).remove_write(job, number);
        }
    }

    /// Whether this host has sent a write of the job whose outcome is not
    /// known.
    pub(crate) fn is_unresolved(&self, job: JobId) -> bool {
        lock(&self.inner.unresolved).contains(job, self.inner.clock.now())
    }

    /// Notes that a job is durable, whatever becomes of other writes of it.
    fn note_durable(&self, job: JobId) {
        lock(&self.inner.accepted).insert(job);
        lock(&self.inner.unresolved).remove(job);
    }

    /// Whether this host may have written a job, or knows that it is durable: it has written
    /// it, leads and has it, or has shown how it ended.
    pub(crate) fn may_be_durable(&self, job: JobId) -> bool {
        self.is_unresolved(job)
            || lock(&self.inner.accepted).contains(job)
            || self.cached_outcome(job).is_some()
            || self.leading().is_some_and(|leader| leader.state(job).is_some())
    }

    /// Asks all peers whether they have sent a write of a job that this host
    /// knows not to be written: the caller may have submitted the same job to
    /// another host before. Returns [`WriteOutcome::Rejected`] only if all peers answer
    /// that they have sent none and don't know the job: the write of one that was killed may
    /// still take effect. Another call may have sent one here meanwhile.
    pub(crate) async fn confirm_rejected(&self, job: JobId) -> WriteOutcome {
        let peers = lock(&self.inner.members)
            .others_or_lapsed(self.inner.options.peer_addr, &self.inner.clock);
        let query = JobQuery { job };
        let queries = peers.iter().map(|&addr| self.ask_peer(addr, "unsettled", &query));
        let answers: Vec<Result<UnresolvedAnswer, _>> = join_all(queries).await;
        let none_sent = answers.iter().all(|answer| matches!(answer, Ok(peer) if !peer.unresolved));
        match none_sent && !self.may_be_durable(job) {
            true => WriteOutcome::Rejected,
            false => WriteOutcome::Unknown,
        }
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

/// Returns until when a submission waits unsent: as long as it is of use to its
/// caller, and peers can still confirm that they have not sent it.
fn unsent_limit(started: Instant, deadline: Instant) -> Instant {
    let confirmed_by = deadline.checked_sub(CONFIRM_TIME).unwrap_or(started);
    confirmed_by.min(started + UNSENT_WAIT_MAX)
}

pub(crate) fn random_retry_after() -> Duration {
    Duration::from_secs(rand::rng().random_range(RETRY_AFTER_S))
}
