//! The list of machines, and waves of maintenance.

use std::collections::BTreeMap;
use std::sync::Arc;

use vg_base::prelude::*;
use vg_flow::{Wave, WaveRecord, WaveState};
use vg_store::{Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::codec::encode;
use crate::host::lock;
use crate::keys::{TERM, WAVES};

/// Time between two readings of the list while it is needed.
const LIST_PERIOD: Duration = Duration::from_millis(1000);
/// Time between two looks at whether it is needed, or waves have changed.
const LOOK: Duration = Duration::from_millis(250);

impl<P: Platform, C: Clock> Leader<P, C> {
    pub(super) fn add_waves(&self, waves: &BTreeMap<u64, Wave>, old: bool) {
        let records = lock(&self.committed).waves.1.clone();
        let (now, wall) = (self.host.inner.clock.now(), self.host.inner.clock.wall());
        let mut flow = self.flow();
        for wave in waves.values() {
            let record = records.iter().find(|record| record.number == wave.number);
            flow.add_wave(wave.clone(), record, old, now, wall);
        }
    }

    /// Reads the list of machines while it is needed and writes what has
    /// changed of the waves.
    pub(super) async fn follow_machines(self: Arc<Self>) {
        let mut read: Option<Instant> = None;
        loop {
            let now = self.host.inner.clock.now();
            let due = read.is_none_or(|at| now.saturating_duration_since(at) >= LIST_PERIOD);
            if due && self.flow().needs_machine_list() {
                read = Some(now);
                if let Some(list) = self.host.inner.platform.machines().await {
                    self.flow().set_machine_list(list);
                    self.wake.notify_one();
                }
            }
            let changes = self.flow().take_wave_changes();
            if let Some(changes) = changes
                && !self.write_waves(&changes).await
            {
                self.flow().restore_wave_changes();
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn write_waves(&self, changes: &[(WaveRecord, WaveState)]) -> bool {
        let records: Vec<_> = changes.iter().map(|(record, _)| record.clone()).collect();
        let Some(value) = encode(&records) else { return true };
        let revision = lock(&self.committed).waves.0;
        let mut txn = Txn::new()
            .expect(TERM, Some(StoreRevision(self.fence.0 as i64)))
            .expect(WAVES, revision)
            .put(WAVES, value);
        for (record, state) in changes {
            let (key, value) = self.host.inner.platform.wave_status_item(record.number, *state);
            txn = txn.put(key, value);
        }
        match self.host.store().commit(txn).await {
            Ok(TxnOutcome::Committed { revision }) => {
                lock(&self.committed).waves = (Some(revision), records);
                true
            }
            Ok(TxnOutcome::Conflict { found }) => {
                if self.still_leads(&found).await
                    && let Ok(entry) = self.host.store().get(&WAVES.into()).await
                {
                    lock(&self.committed).waves.0 = entry.map(|entry| entry.modified);
                }
                false
            }
            Err(error) => {
                log::debug!(target: "store", "waves not written: {error}");
                false
            }
        }
    }
}
