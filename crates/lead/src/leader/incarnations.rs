//! The durable record of worker incarnations that may have received work.

use std::sync::Arc;

use futures_util::future::join_all;
use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::IncarnationRecord;
use vg_store::{Error, Store, StoreRevision, Txn, TxnOutcome, Value};

use super::Leader;
use super::incarnation_shards::{IncarnationShards, SHARDS_PER_TXN};
use crate::Platform;
use crate::keys::{self, INCARNATIONS_KEY, INCARNATIONS_MOVED, LEADER_KEY, TERM_KEY};

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
    pub(super) async fn record_incarnations(self: Arc<Self>, mut shards: IncarnationShards) {
        loop {
            self.record_needed.notified().await;
            if !self.scheduler().is_frozen() {
                tokio::time::sleep(BATCH_DELAY).await;
            }
            let Some(written) = self.write_incarnations(&mut shards).await else { return };
            self.scheduler().records_written(&written.incarnations, shards.latest);
            self.recorded.notify_waiters();
            self.wake.notify_one();
            if written.is_final {
                self.handover_done.notify_one();
                return;
            }
        }
    }

    /// Writes the current incarnations until the write is durable. Returns
    /// `None` if the leadership is lost.
    async fn write_incarnations(&self, shards: &mut IncarnationShards) -> Option<Snapshot> {
        loop {
            let snapshot = self.snapshot();
            let changed = shards.changed(&snapshot.incarnations)?;
            let written = self.write_shards(shards, &changed).await?;
            if written
                && self.replace_earlier(shards).await
                && (!snapshot.is_final || self.end_leader_key().await?)
            {
                return Some(snapshot);
            }
        }
    }

    /// Writes shards, several to a transaction. Returns whether all are durable, and
    /// `None` if the leadership is lost.
    async fn write_shards(
        &self,
        shards: &mut IncarnationShards,
        changed: &[(usize, Value)],
    ) -> Option<bool> {
        let known: &IncarnationShards = shards;
        let writes = changed.chunks(SHARDS_PER_TXN).map(async |chunk| {
            let mut txn = Txn::new().expect(TERM_KEY, Some(self.term()));
            for (shard, value) in chunk {
                let key = keys::incarnation_shard(*shard);
                txn = txn.expect(key.clone(), known.revision(*shard)).put(key, value.clone());
            }
            let sent = self.host.inner.clock.now();
            (chunk, sent, self.host.store().commit(txn).await)
        });
        let mut complete = true;
        for (chunk, sent, outcome) in join_all(writes).await {
            match outcome {
                Ok(TxnOutcome::Committed { revision }) => {
                    self.scheduler().note_revision(revision.0 as u64, sent);
                    for (shard, value) in chunk {
                        shards.set(*shard, Some(revision), value.clone());
                    }
                    shards.note_committed(revision);
                }
                Ok(TxnOutcome::Conflict { found }) => {
                    complete = false;
                    if !self.still_leads(&found).await {
                        return None;
                    }
                    // An earlier write whose answer was lost has taken effect. It is repeated,
                    // as its revision is not known to be of this leadership.
                    self.reload_shards(shards, chunk).await;
                }
                Err(error) => {
                    complete = false;
                    chunk.iter().for_each(|(shard, _)| shards.mark_unknown(*shard));
                    self.record_write_failure(&error).await;
                }
            }
        }
        Some(complete)
    }

    /// Replaces the record of an earlier version, once the shards hold what it held.
    /// Returns whether that is done.
    async fn replace_earlier(&self, shards: &mut IncarnationShards) -> bool {
        let Some(revision) = shards.earlier else { return true };
        let txn = Txn::new()
            .expect(TERM_KEY, Some(self.term()))
            .expect(INCARNATIONS_KEY, revision)
            .put(INCARNATIONS_KEY, Value::from_static(INCARNATIONS_MOVED));
        match self.host.store().commit(txn).await {
            // After a conflict the write had taken effect before, or another host leads.
            Ok(_) => {
                shards.earlier = None;
                true
            }
            Err(error) => {
                self.record_write_failure(&error).await;
                false
            }
        }
    }

    /// Reads shards, whose next write expects the revisions that are found.
    async fn reload_shards(&self, shards: &mut IncarnationShards, chunk: &[(usize, Value)]) {
        for (shard, _) in chunk {
            match self.host.store().get(&keys::incarnation_shard(*shard)).await {
                Ok(Some(entry)) => {
                    shards.set(*shard, Some(entry.modified), entry.value);
                    shards.mark_unknown(*shard);
                }
                Ok(None) => shards.set(*shard, None, Value::new()),
                Err(error) => {
                    shards.mark_unknown(*shard);
                    self.record_write_failure(&error).await;
                }
            }
        }
    }

    /// Deletes the leader key, after the final record: from then on another host
    /// can take over. Returns whether that is durable, and `None` if the leadership
    /// is lost.
    async fn end_leader_key(&self) -> Option<bool> {
        let txn = Txn::new().expect(TERM_KEY, Some(self.term())).delete(LEADER_KEY);
        match self.host.store().commit(txn).await {
            Ok(TxnOutcome::Committed { .. }) => Some(true),
            Ok(TxnOutcome::Conflict { found }) => self.still_leads(&found).await.then_some(false),
            Err(error) => {
                self.record_write_failure(&error).await;
                Some(false)
            }
        }
    }

    fn term(&self) -> StoreRevision {
        StoreRevision(self.token.0 as i64)
    }

    /// Returns the incarnations to record. Records are sealed only while this
    /// host's lease is valid: a worker whose record is sealed gets no work until
    /// the record is unsealed, which takes a write to the store, and the store
    /// may be unreachable.
    fn snapshot(&self) -> Snapshot {
        let now = self.host.inner.clock.now();
        let mut scheduler = self.scheduler();
        if self.host.is_lease_valid() {
            scheduler.seal_unreachable_workers(now);
        }
        Snapshot {
            incarnations: scheduler.incarnation_records(now),
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
