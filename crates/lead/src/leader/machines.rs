//! Reads the list of machines and records the progress of maintenance waves.

use std::collections::BTreeMap;
use std::sync::Arc;

use vg_base::prelude::*;
use vg_flow::{Wave, WaveRecord, WaveState};
use vg_store::{Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::Platform;
use crate::codec::encode;
use crate::host::lock;
use crate::keys::{TERM_KEY, WAVES_KEY};

/// Interval at which the list of machines is read while it is needed. It is
/// [`POLL_INTERVAL`] while a wave waits for a machine that is due back.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval at which the leader checks whether the list is needed and whether
/// waves have changed.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Adds maintenance waves with their recorded progress.
    pub(super) fn add_waves(&self, waves: &BTreeMap<u64, Wave>) {
        let records = lock(&self.revisions).waves.1.clone();
        let (now, wall) = (self.host.inner.clock.now(), self.host.inner.clock.wall());
        let mut scheduler = self.scheduler();
        for wave in waves.values() {
            let record = records.iter().find(|record| record.number == wave.number);
            scheduler.add_wave(wave.clone(), record, now, wall);
        }
    }

    /// Reads the list of machines while it is needed, and writes changes of the
    /// maintenance waves.
    pub(super) async fn follow_machines(self: Arc<Self>) {
        let mut last_read: Option<Instant> = None;
        loop {
            let now = self.host.inner.clock.now();
            let awaited = self.scheduler().awaits_machine(now);
            let interval = if awaited { POLL_INTERVAL } else { LIST_INTERVAL };
            let due = last_read.is_none_or(|at| now.saturating_duration_since(at) >= interval);
            if due && self.scheduler().needs_machine_list() {
                last_read = Some(now);
                if let Some(list) = self.host.inner.platform.machines().await {
                    self.scheduler().set_machine_list(list, now);
                    self.wake.notify_one();
                }
            }
            let changes = self.scheduler().take_wave_changes();
            if let Some(changes) = changes
                && !self.write_waves(&changes).await
            {
                self.scheduler().restore_wave_changes();
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Writes the progress of the maintenance waves, and their states for
    /// operators. Returns `false` if they have to be written again.
    async fn write_waves(&self, changes: &[(WaveRecord, WaveState)]) -> bool {
        let records: Vec<_> = changes.iter().map(|(record, _)| record.clone()).collect();
        let Some(value) = encode(&records) else { return true };
        let revision = lock(&self.revisions).waves.0;
        let mut txn = Txn::new()
            .expect(TERM_KEY, Some(StoreRevision(self.token.0 as i64)))
            .expect(WAVES_KEY, revision)
            .put(WAVES_KEY, value);
        for (record, state) in changes {
            let (key, value) = self.host.inner.platform.wave_status_item(record.number, *state);
            txn = txn.put(key, value);
        }
        match self.host.store().commit(txn).await {
            Ok(TxnOutcome::Committed { revision }) => {
                lock(&self.revisions).waves = (Some(revision), records);
                true
            }
            Ok(TxnOutcome::Conflict { found }) => {
                if self.still_leads(&found).await
                    && let Ok(entry) = self.host.store().get(&WAVES_KEY.into()).await
                {
                    lock(&self.revisions).waves.0 = entry.map(|entry| entry.modified);
                }
                false
            }
            Err(error) => {
                log::debug!(target: "store", "cannot write the maintenance waves: {error}");
                false
            }
        }
    }
}
