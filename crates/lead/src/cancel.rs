//! Jobs that callers cancel.

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::JobOutcome;
use vg_store::{Store, Txn, TxnOutcome};

use crate::host::lock;
use crate::keys::{self, EndValue};
use crate::messages::{CancelDone, Cancelled};
use crate::retry::read;
use crate::{Host, Platform};

impl<P: Platform, C: Clock> Host<P, C> {
    /// Makes a cancellation durable and tells the leader of it.
    pub(crate) async fn write_cancel(&self, job: JobId, deadline: Instant) -> CancelDone {
        while self.inner.clock.now() < deadline {
            match self.try_cancel(job, deadline).await {
                Ok(Some(done)) => {
                    if done == CancelDone::Durable {
                        self.tell_cancelled(job);
                    }
                    return done;
                }
                // The job changed in between, or the answer was lost.
                Ok(None) => {}
                Err(error) => log::debug!(target: "store", "cancel {job}: {error}"),
            }
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        CancelDone::Unknown
    }

    async fn try_cancel(
        &self,
        job: JobId,
        deadline: Instant,
    ) -> Result<Option<CancelDone>, vg_store::Error> {
        let clock = &self.inner.clock;
        let Some(entry) = read(self.store(), &keys::job(job), clock, deadline).await? else {
            let end = read(self.store(), &keys::end(job), clock, deadline).await?;
            let value = end.and_then(|end| self.decode::<EndValue>(&end));
            return Ok(Some(match value {
                Some(EndValue { how: JobOutcome::Cancelled, .. }) => CancelDone::Durable,
                _ => CancelDone::Absent,
            }));
        };
        let txn = Txn::new()
            .expect(keys::job(job), Some(entry.modified))
            .put(keys::cancel(job), bytes::Bytes::new());
        Ok(match self.store().commit(txn).await? {
            TxnOutcome::Committed { .. } => Some(CancelDone::Durable),
            TxnOutcome::Conflict { .. } => None,
        })
    }

    fn tell_cancelled(&self, job: JobId) {
        self.record(Code::JobCancelled, [Field::new("job", job)]);
        if let Some(leader) = self.leading() {
            leader.take_cancel(job);
            return;
        }
        self.tell_leader("cancelled", job, Cancelled { job });
    }

    pub(crate) fn remember_end(&self, job: JobId, team: Option<TeamId>, how: JobOutcome) {
        lock(&self.inner.ends).set(job, team, how);
    }
}
