//! The record of lives that may have been given work.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::IncarnationRecord;
use vg_store::{Error, Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::codec::encode;
use crate::keys::{LEADER, LIVES, TERM};

/// Time in which lives that come together are written together.
const GATHER: Duration = Duration::from_millis(30);
/// Pause before the record is written again.
const RETRY: Duration = Duration::from_millis(100);

/// The lives at one moment.
struct Snapshot {
    lives: Vec<IncarnationRecord>,
    /// It says of all workers what they may run: nothing follows it.
    last: bool,
}

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Records new lives before they are given work, so that a next leader
    /// knows where tasks may run out of its sight.
    pub(super) async fn record_lives(self: Arc<Self>, revision: Option<StoreRevision>) {
        let mut revision = revision;
        loop {
            self.lives.notified().await;
            if !self.flow().is_frozen() {
                tokio::time::sleep(GATHER).await;
            }
            let Some(written) = self.write_lives(&mut revision).await else { return };
            self.flow().records_written(&written.lives);
            self.wake.notify_one();
            if written.last {
                self.handed.notify_one();
                return;
            }
        }
    }

    /// Writes the lives as they are until that is durable; `None` if the
    /// leadership is lost.
    async fn write_lives(&self, revision: &mut Option<StoreRevision>) -> Option<Snapshot> {
        loop {
            let Snapshot { lives, last } = self.snapshot();
            let value = encode(&lives)?;
            let mut txn = Txn::new()
                .expect(TERM, Some(StoreRevision(self.fence.0 as i64)))
                .expect(LIVES, *revision)
                .put(LIVES, value);
            if last {
                // The next leader can take over from here.
                txn = txn.delete(LEADER);
            }
            match self.host.store().commit(txn).await {
                Ok(TxnOutcome::Committed { revision: written }) => {
                    *revision = Some(written);
                    return Some(Snapshot { lives, last });
                }
                Ok(TxnOutcome::Conflict { found }) => {
                    if !self.still_leads(&found).await {
                        return None;
                    }
                    // A write whose answer was lost has taken effect.
                    match self.host.store().get(&LIVES.into()).await {
                        Ok(entry) => *revision = entry.map(|entry| entry.modified),
                        Err(error) => self.lives_failed(&error).await,
                    }
                }
                Err(error) => self.lives_failed(&error).await,
            }
        }
    }

    /// Returns the lives to record. A worker whose record is closed gets nothing
    /// until it is open again, so none is closed while the store may be away.
    fn snapshot(&self) -> Snapshot {
        let clock = &self.host.inner.clock;
        let (now, wall) = (clock.now(), clock.wall());
        let mut flow = self.flow();
        if self.host.is_verified() {
            flow.seal_silent_workers(now);
        }
        Snapshot { lives: flow.incarnation_records(now, wall), last: flow.is_frozen() }
    }

    async fn lives_failed(&self, error: &Error) {
        let fields = [Field::new("call", "lives"), Field::new("cause", error)];
        self.host.record(Code::StoreFailed, fields);
        tokio::time::sleep(RETRY).await;
    }
}
