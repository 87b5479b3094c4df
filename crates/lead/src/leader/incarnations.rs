//! The durable record of worker incarnations that may have received work.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::IncarnationRecord;
use vg_store::{Error, Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::codec::encode;
use crate::keys::{INCARNATIONS_KEY, LEADER_KEY, TERM_KEY};

/// Time in which changes of incarnations accumulate before they are written
/// together.
const BATCH_DELAY: Duration = Duration::from_millis(30);
/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The incarnations at one moment.
struct Snapshot {
    incarnations: Vec<IncarnationRecord>,
    /// Whether decisions have ended, so that the record states for every worker
    /// which tasks it may run and no further record follows.
    is_final: bool,
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Makes new incarnations durable before they receive work, so that the
    /// next leader knows which workers may run tasks that are unknown to it.
    pub(super) async fn record_incarnations(self: Arc<Self>, revision: Option<StoreRevision>) {
        let mut revision = revision;
        loop {
            self.record_needed.notified().await;
            if !self.scheduler().is_frozen() {
                tokio::time::sleep(BATCH_DELAY).await;
            }
            let Some(written) = self.write_incarnations(&mut revision).await else { return };
            self.scheduler().records_written(&written.incarnations);
            self.wake.notify_one();
            if written.is_final {
                self.handover_done.notify_one();
                return;
            }
        }
    }

    /// Writes the current incarnations until the write is durable. Returns
    /// `None` if the leadership is lost.
    async fn write_incarnations(&self, revision: &mut Option<StoreRevision>) -> Option<Snapshot> {
        loop {
            let Snapshot { incarnations, is_final } = self.snapshot();
            let value = encode(&incarnations)?;
            let mut txn = Txn::new()
                .expect(TERM_KEY, Some(StoreRevision(self.token.0 as i64)))
                .expect(INCARNATIONS_KEY, *revision)
                .put(INCARNATIONS_KEY, value);
            if is_final {
                // From this transaction on another host can take over.
                txn = txn.delete(LEADER_KEY);
            }
            match self.host.store().commit(txn).await {
                Ok(TxnOutcome::Committed { revision: written }) => {
                    *revision = Some(written);
                    return Some(Snapshot { incarnations, is_final });
                }
                Ok(TxnOutcome::Conflict { found }) => {
                    if !self.still_leads(&found).await {
                        return None;
                    }
                    // An earlier write whose answer was lost has taken effect.
                    match self.host.store().get(&INCARNATIONS_KEY.into()).await {
                        Ok(entry) => *revision = entry.map(|entry| entry.modified),
                        Err(error) => self.record_write_failure(&error).await,
                    }
                }
                Err(error) => self.record_write_failure(&error).await,
            }
        }
    }

    /// Returns the incarnations to record. Records are sealed only while this
    /// host's lease is valid: a worker whose record is sealed gets no work until
    /// the record is unsealed, which takes a write to the store, and the store
    /// may be unreachable.
    fn snapshot(&self) -> Snapshot {
        let clock = &self.host.inner.clock;
        let (now, wall) = (clock.now(), clock.wall());
        let mut scheduler = self.scheduler();
        if self.host.is_lease_valid() {
            scheduler.seal_unreachable_workers(now);
        }
        Snapshot {
            incarnations: scheduler.incarnation_records(now, wall),
            is_final: scheduler.is_frozen(),
        }
    }

    /// Records an event for a failed call to the store, and waits for
    /// [`RETRY_DELAY`].
    async fn record_write_failure(&self, error: &Error) {
        let fields = [Field::new("call", "lives"), Field::new("cause", error)];
        self.host.record(Code::StoreFailed, fields);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
