//! The record of lives that may have been given work.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::LifeRecord;
use vg_net::to_msgpack;
use vg_store::{Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::keys::{LIVES, TERM};

/// Time in which lives that come together are written together.
const GATHER: Duration = Duration::from_millis(30);
/// Pause before the record is written again.
const RETRY: Duration = Duration::from_millis(100);

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Records new lives before they are given work, so that a next leader
    /// knows where tasks may run out of its sight.
    pub(super) async fn record_lives(self: Arc<Self>, revision: Option<StoreRevision>) {
        let mut revision = revision;
        loop {
            self.lives.notified().await;
            tokio::time::sleep(GATHER).await;
            let clock = &self.host.inner.clock;
            let lives = self.flow().lives(clock.now(), clock.wall());
            self.write_lives(&lives, &mut revision).await;
            self.flow().recorded(&lives);
            self.wake.notify_one();
        }
    }

    async fn write_lives(&self, lives: &[LifeRecord], revision: &mut Option<StoreRevision>) {
        let Ok(value) = to_msgpack(&lives) else { return };
        loop {
            let txn = Txn::new()
                .expect(TERM, Some(StoreRevision(self.fence.0 as i64)))
                .expect(LIVES, *revision)
                .put(LIVES, value.clone());
            match self.host.store().commit(txn).await {
                Ok(TxnOutcome::Done { revision: written }) => {
                    *revision = Some(written);
                    return;
                }
                Ok(TxnOutcome::Conflict { found }) => {
                    if !self.still_leads(&found).await {
                        return;
                    }
                    // A write whose answer was lost has taken effect.
                    if let Ok(entry) = self.host.store().get(&LIVES.into()).await {
                        *revision = entry.map(|entry| entry.modified);
                    }
                }
                Err(error) => {
                    let fields = [Field::new("call", "lives"), Field::new("cause", error)];
                    self.host.record(Code::StoreFailed, fields);
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
    }
}
