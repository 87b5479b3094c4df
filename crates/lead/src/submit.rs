//! Jobs that callers hand in.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::JobSpec;
use vg_net::to_msgpack;
use vg_store::{Error, Store, Txn, TxnOutcome};

use crate::host::lock;
use crate::messages::{Handed, Known, Relay, Written};
use crate::retry::{OWN_TRIES, answer_by};
use crate::{Host, Platform, keys};

/// Pause before a write is tried again.
const PAUSE: Duration = Duration::from_millis(50);
/// Peers that are asked to write a job.
const RELAYS: usize = 2;

/// What a caller is told of its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// It is durable and will run.
    Accepted,
    /// It is not durable and never will be; come back then.
    Refused(Duration),
    /// It may be durable: the same job can be handed in again.
    Unknown,
}

/// Time after which a refused caller may come back.
const COME_BACK: Duration = Duration::from_millis(1000);

impl<P: Platform, C: Clock> Host<P, C> {
    /// Makes a job durable and tells the leader of it.
    pub async fn submit(&self, job: JobId, spec: JobSpec, deadline: Instant) -> Submitted {
        let spec = Arc::new(spec);
        let deadline = answer_by(deadline);
        let written = self.write_anywhere(job, &spec, deadline).await;
        let (answer, outcome) = match written {
            Written::Durable => (Submitted::Accepted, "accepted"),
            Written::Rejected => (Submitted::Refused(COME_BACK), "not-run"),
            Written::Unknown => (Submitted::Unknown, "unknown"),
        };
        self.inner.metrics.submitted(outcome);
        if answer != Submitted::Accepted {
            let fields = [Field::new("job", job), Field::new("outcome", outcome)];
            self.record(Code::JobRefused, fields);
        }
        answer
    }

    async fn write_anywhere(&self, job: JobId, spec: &Arc<JobSpec>, deadline: Instant) -> Written {
        let own = self.inner.clock.now() + OWN_TRIES;
        let mut written = self.write_job(job, spec, own.min(deadline)).await;
        while written != Written::Durable && self.inner.clock.now() < deadline {
            let relayed = self.relay(job, spec).await;
            // Once a write may be under way, only its proof settles it.
            written = match (written, relayed) {
                (_, Written::Durable) => Written::Durable,
                (Written::Rejected, Written::Rejected) => return Written::Rejected,
                _ => Written::Unknown,
            };
            if written == Written::Unknown {
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
        let Ok(value) = to_msgpack(spec.as_ref()) else { return Written::Rejected };
        let mut written = Written::Rejected;
        loop {
            let txn = Txn::new()
                .expect(keys::job(job), None)
                .expect(keys::end(job), None)
                .put(keys::job(job), value.clone());
            match self.store().commit(txn).await {
                Ok(TxnOutcome::Done { revision }) => {
                    self.note_store();
                    self.accepted(job, revision.0 as u64, spec);
                    return Written::Durable;
                }
                // The same id is the same job: it was written before.
                Ok(TxnOutcome::Conflict { found }) => {
                    self.note_store();
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
                    return written;
                }
                Err(error) if !error.is_without_effect() => written = Written::Unknown,
                Err(_) => {}
            }
            if self.inner.clock.now() + PAUSE >= deadline {
                return written;
            }
            tokio::time::sleep(PAUSE).await;
        }
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
