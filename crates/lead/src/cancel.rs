//! Writes the cancellation of a job to the store and informs the leader.

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::JobOutcome;
use vg_store::{Store, Txn, TxnOutcome};

use crate::codec::encode;
use crate::host::lock;
use crate::keys::{self, OutcomeRecord};
use crate::messages::{CancelWriteOutcome, DurableCancel};
use crate::retry::Callee;
use crate::{Host, Platform};

/// Delay before a cancellation is written again.
const RETRY_DELAY: Duration = Duration::from_millis(40);

impl<P: Platform, C: Clock> Host<P, C> {
    /// Makes a cancellation durable and notifies the leader.
    ///
    /// Retries until the outcome is known. Returns
    /// [`CancelWriteOutcome::Unknown`] if `deadline` passes before that.
    pub(crate) async fn write_cancel(&self, job: JobId, deadline: Instant) -> CancelWriteOutcome {
        while self.inner.clock.now() < deadline {
            match self.try_cancel(job, deadline).await {
                Ok(Some(outcome)) => {
                    if outcome == CancelWriteOutcome::Durable {
                        self.announce_cancelled(job);
                    }
                    return outcome;
                }
                // The job's record changed between the read and the write, so
                // the transaction had no effect.
                Ok(None) => {}
                Err(error) => {
                    log::debug!(target: "store", "cannot cancel job {job}: {error}")
                }
            }
            if !self.wait_to_retry(Callee::Store, RETRY_DELAY, deadline).await {
                break;
            }
        }
        CancelWriteOutcome::Unknown
    }

    /// Writes a cancellation without retrying the write. Returns `None` if the
    /// job changed meanwhile, so that the write had no effect.
    async fn try_cancel(
        &self,
        job: JobId,
        deadline: Instant,
    ) -> Result<Option<CancelWriteOutcome>, vg_store::Error> {
        let Some(entry) = self.read_with_retry(&keys::job(job), deadline).await? else {
            let outcome = self.read_with_retry(&keys::outcome(job), deadline).await?;
            let Some(entry) = outcome else { return self.cancel_unaccepted(job).await };
            return Ok(Some(match self.decode::<OutcomeRecord>(&entry) {
                Some(OutcomeRecord {
                    outcome: JobOutcome::Cancelled, unaccepted: false, ..
                }) => CancelWriteOutcome::Durable,
                _ => CancelWriteOutcome::Absent,
            }));
        };
        let txn = Txn::new()
            .expect(keys::job(job), Some(entry.modified))
            .put(keys::cancel(job), bytes::Bytes::new());
        Ok(match self.store().commit(txn).await? {
            TxnOutcome::Committed { .. } => Some(CancelWriteOutcome::Durable),
            TxnOutcome::Conflict { .. } => None,
        })
    }

    /// Cancels a job that doesn't exist: its write may be on its way, here or at another
    /// host, and must not take effect any more.
    async fn cancel_unaccepted(
        &self,
        job: JobId,
    ) -> Result<Option<CancelWriteOutcome>, vg_store::Error> {
        let record = OutcomeRecord { outcome: JobOutcome::Cancelled, team: None, unaccepted: true };
        let Some(value) = encode(&record) else { return Ok(None) };
        let txn = Txn::new()
            .expect(keys::job(job), None)
            .expect(keys::outcome(job), None)
            .put(keys::outcome(job), value);
        Ok(match self.store().commit(txn).await? {
            TxnOutcome::Committed { .. } => Some(CancelWriteOutcome::Absent),
            TxnOutcome::Conflict { .. } => None,
        })
    }

    /// Records that a cancellation is durable and notifies the leader.
    fn announce_cancelled(&self, job: JobId) {
        self.record(Code::JobCancelled, [Field::new("job", job)]);
        if let Some(leader) = self.leading() {
            leader.apply_cancel(job);
            return;
        }
        self.notify_leader("cancelled", job, DurableCancel { job }, false);
    }

    /// Keeps the outcome of a finished job in memory.
    pub(crate) fn cache_outcome(&self, job: JobId, team: Option<TeamId>, outcome: JobOutcome) {
        lock(&self.inner.outcomes).set(job, team, outcome);
    }
}
