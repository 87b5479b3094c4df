//! Jobs that callers hand in.

use std::sync::Arc;

use futures_util::future::join_all;
use rand::Rng;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::JobSpec;
use vg_store::{Error, Store, Txn, TxnOutcome};

use crate::codec::encode;
use crate::host::lock;
use crate::messages::{Handed, Known, Query, Relay, UnsettledAnswer, Written};
use crate::retry::{OWN_TRIES, answer_by};
use crate::{Host, Platform, keys};

/// Pause before a write is tried again.
const PAUSE: Duration = Duration::from_millis(50);
/// Silence of the store from which nothing more is sent to it for a caller.
const SILENT: Duration = Duration::from_millis(1500);
/// Peers that are asked to write a job.
const RELAYS: usize = 2;

/// What a caller is told of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is durable and will run.
    Accepted,
    /// It is not durable and never will be; come back then.
    Refused(Duration),
    /// It may be durable: the same job can be handed in again.
    Unknown,
}

/// Times after which refused callers may come back: spread, so that they don't
/// all come at once when the store is back.
const COME_BACK_S: std::ops::RangeInclusive<u64> = 1..=2;

impl<P: Platform, C: Clock> Host<P, C> {
    /// Makes a job durable and tells the leader of it.
    pub async fn submit(&self, job: JobId, spec: JobSpec, deadline: Instant) -> SubmitOutcome {
        let spec = Arc::new(spec);
        let deadline = answer_by(deadline);
        let written = self.write_anywhere(job, &spec, deadline).await;
        let (answer, outcome) = match written {
            Written::Durable => (SubmitOutcome::Accepted, "accepted"),
            Written::Rejected => (SubmitOutcome::Refused(come_back()), "not-run"),
            Written::Unknown => (SubmitOutcome::Unknown, "unknown"),
        };
        self.inner.metrics.submitted(outcome);
        if answer != SubmitOutcome::Accepted {
            let fields = [Field::new("job", job), Field::new("outcome", outcome)];
            self.record(Code::JobRefused, fields);
        }
        answer
    }

    /// Writes a job by itself or through peers. What is not settled at
    /// `deadline` may have been written.
    async fn write_anywhere(&self, job: JobId, spec: &Arc<JobSpec>, deadline: Instant) -> Written {
        let left = deadline.saturating_duration_since(self.inner.clock.now());
        let written = tokio::time::timeout(left, self.try_anywhere(job, spec, deadline)).await;
        written.unwrap_or(Written::Unknown)
    }

    async fn try_anywhere(&self, job: JobId, spec: &Arc<JobSpec>, deadline: Instant) -> Written {
        let own = self.inner.clock.now() + OWN_TRIES;
        let mut written = self.write_job(job, spec, own.min(deadline)).await;
        while written != Written::Durable && self.inner.clock.now() < deadline {
            let relayed = self.relay(job, spec).await;
            // Once a write may be under way, only its proof settles it.
            written = match (written, relayed) {
                (_, Written::Durable) => Written::Durable,
                (Written::Rejected, Written::Rejected) => return self.rejected(job).await,
                _ => Written::Unknown,
            };
            if written == Written::Unknown {
                // Neither this host nor its peers will learn more soon.
                if self.is_store_silent() {
                    return Written::Unknown;
                }
                tokio::time::sleep(PAUSE).await;
                if self.write_job(job, spec, deadline).await == Written::Durable {
                    written = Written::Durable;
                }
            }
        }
        written
    }

    async fn relay(&self, job: JobId, spec: &Arc<JobSpec>) -> Written {
        let mut written = Written::Rejected;
        for addr in self.some_peers(RELAYS) {
            let message = Relay { job, spec: Arc::clone(spec) };
            match self.ask_peer(addr, "relay", &message).await {
                Ok(Written::Durable) => return Written::Durable,
                Ok(Written::Rejected) => {}
                Ok(Written::Unknown) => written = Written::Unknown,
                Err(error) if error.is_not_sent() => {}
                Err(_) => written = Written::Unknown,
            }
        }
        written
    }

    /// Writes a job to the store until it is proved durable, proved not
    /// written, or `deadline` has passed.
    pub(crate) async fn write_job(
        &self,
        job: JobId,
        spec: &Arc<JobSpec>,
        deadline: Instant,
    ) -> Written {
        let Some(value) = encode(spec.as_ref()) else { return Written::Rejected };
        // An earlier try for the same job may still take effect.
        let mut written = match self.is_unsettled(job) {
            true => Written::Unknown,
            false => Written::Rejected,
        };
        loop {
            if self.is_store_silent() {
                return written;
            }
            lock(&self.inner.unsettled).insert(job, self.inner.clock.now());
            let txn = Txn::new()
                .expect(keys::job(job), None)
                .expect(keys::end(job), None)
                .put(keys::job(job), value.clone());
            match self.store().commit(txn).await {
                Ok(TxnOutcome::Committed { revision }) => {
                    self.note_store();
                    lock(&self.inner.unsettled).remove(job);
                    self.accepted(job, revision.0 as u64, spec);
                    return Written::Durable;
                }
                // The same id is the same job: it was written before.
                Ok(TxnOutcome::Conflict { found }) => {
                    self.note_store();
                    lock(&self.inner.unsettled).remove(job);
                    let entry = found.iter().find(|entry| entry.key == keys::job(job));
                    if let Some(entry) = entry
                        && written == Written::Unknown
                    {
                        self.accepted(job, entry.modified.0 as u64, spec);
                    }
                    return Written::Durable;
                }
                Err(Error::Refused { reason }) => {
                    log::warn!(target: "store", "job {job} was refused: {reason}");
                    self.note_rejected(job, written);
                    return written;
                }
                Err(error) if !error.had_no_effect() => written = Written::Unknown,
                Err(_) => self.note_rejected(job, written),
            }
            if self.inner.clock.now() + PAUSE >= deadline {
                return written;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Notes that the last of a job's tries had no effect.
    fn note_rejected(&self, job: JobId, written: Written) {
        if written == Written::Rejected {
            lock(&self.inner.unsettled).remove(job);
        }
    }

    /// Whether this host may have written a job.
    pub(crate) fn is_unsettled(&self, job: JobId) -> bool {
        lock(&self.inner.unsettled).has(job, self.inner.clock.now())
    }

    /// Returns what is true of a job that this host and some peers have not
    /// written: the same job may have come to another peer before.
    async fn rejected(&self, job: JobId) -> Written {
        let peers = self.some_peers(usize::MAX);
        let query = Query { job };
        let asked = peers.iter().map(|&addr| self.ask_peer(addr, "unsettled", &query));
        let answers: Vec<Result<UnsettledAnswer, _>> = join_all(asked).await;
        match answers.into_iter().flatten().any(|answer| answer.unsettled) {
            true => Written::Unknown,
            false => Written::Rejected,
        }
    }

    /// Whether the store has not answered for so long that a write would only
    /// leave its caller without a true answer. The renewals of the host's lease
    /// show when it is back.
    fn is_store_silent(&self) -> bool {
        self.store_silence() > SILENT
    }

    /// Tells the leader of a durable job.
    fn accepted(&self, job: JobId, revision: u64, spec: &Arc<JobSpec>) {
        let fields = [
            Field::new("job", job),
            Field::new("queue", &spec.queue),
            Field::new("revision", revision),
        ];
        self.record(Code::JobAccepted, fields);
        if let Some(leader) = self.leading() {
            leader.take_job(job, Arc::clone(spec), revision);
            return;
        }
        self.tell_leader("handed", job, Handed { job, revision, spec: Arc::clone(spec) });
    }

    /// Returns a job's end if this host knows it.
    pub(crate) fn known_end(&self, job: JobId) -> Option<Known> {
        lock(&self.inner.ends).get(job)
    }
}

fn come_back() -> Duration {
    Duration::from_secs(rand::rng().random_range(COME_BACK_S))
}
