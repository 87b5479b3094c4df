//! Recovery of a pool's jobs from the store.

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_jobs::{
    Batch, Expect, JournalError, Limits, Now, Recovered, Shard, Stored, Write, claim,
    journal_prefix, recover,
};
use vg_store::{Entry, Key, Store, StoreRevision, Txn, TxnOutcome};

use crate::follow::with_timeout;
use crate::jobs::PoolJobs;
use crate::node::Node;
use crate::platform::Platform;

/// Delay between two tries to claim the journal and recover the jobs.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Claims a pool's journal and recovers its jobs. Tries again until it succeeds, and
/// returns false if the pool is assigned to another owner in the meantime.
pub(super) async fn claim_and_recover<P: Platform>(
    node: &Node<P>,
    jobs: &PoolJobs<P::Clock>,
    epoch: Epoch,
) -> bool {
    let mut reported = None;
    loop {
        if jobs.lock().closed || node.membership.check_owner(jobs.pool(), epoch).is_err() {
            return false;
        }
        match try_recover(node, jobs.pool()).await {
            Some(Ok(recovered)) => {
                install(node, jobs, recovered);
                return true;
            }
            Some(Err(error)) => {
                let text = error.to_string();
                if reported.as_ref() != Some(&text) {
                    let pool = Field::new("pool", jobs.pool());
                    let fields = [pool, Field::new("reason", &text)];
                    node.events.record(Code::ValueUnreadable, fields);
                    reported = Some(text);
                }
            }
            // The store is unreachable.
            None => {}
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Claims the journal and recovers its jobs once. Returns `None` if the store did not
/// answer.
async fn try_recover<P: Platform>(
    node: &Node<P>,
    pool: &PoolId,
) -> Option<Result<Recovered, JournalError>> {
    let me = node.membership.me();
    let prefix = Key::from(journal_prefix(pool));
    let listing = with_timeout(node.store.range(&prefix)).await;
    node.metrics.record_store_call("jobs", listing.is_ok());
    let values: Vec<Stored> = listing.ok()?.entries.iter().map(to_stored).collect();
    let head = values.iter().find(|value| value.key.ends_with("/head"));
    let batch = match claim(pool, &me, head) {
        Ok(batch) => batch,
        Err(error) => return Some(Err(error)),
    };
    let committed = with_timeout(node.store.commit(to_txn(&batch))).await;
    node.metrics.record_store_call("commit", committed.is_ok());
    // Whatever the result of the claim, the head shows who owns the journal.
    let listing = with_timeout(node.store.range(&prefix)).await;
    node.metrics.record_store_call("jobs", listing.is_ok());
    let values: Vec<Stored> = listing.ok()?.entries.iter().map(to_stored).collect();
    Some(recover(pool, &me, &values))
}

/// Creates the shard from the recovered jobs and records what was found.
fn install<P: Platform>(node: &Node<P>, jobs: &PoolJobs<P::Clock>, recovered: Recovered) {
    for event in &recovered.events {
        let fields = [Field::new("pool", jobs.pool()), Field::new("reason", event)];
        node.events.record(Code::ValueUnreadable, fields);
    }
    let count = recovered.jobs.len();
    if count > 0 {
        let fields = [Field::new("pool", jobs.pool()), Field::new("jobs", count)];
        node.events.record(Code::JobsRecovered, fields);
    }
    let shard = Shard::restore(recovered, Limits::default(), Now::read(&node.clock));
    jobs.lock().shard = Some(shard);
}

/// Converts a batch to a store transaction.
pub(super) fn to_txn(batch: &Batch) -> Txn {
    let mut txn = Txn::new();
    for Expect { key, revision } in &batch.expects {
        txn = txn.expect(key.clone(), revision.map(StoreRevision));
    }
    for write in &batch.writes {
        txn = match write {
            Write::Put { key, value } => txn.put(key.clone(), value.clone()),
            Write::Delete { key } => txn.delete(key.clone()),
        };
    }
    txn
}

/// Converts a store entry to a value of the journal.
pub(super) fn to_stored(entry: &Entry) -> Stored {
    let (key, value) = (entry.key.0.clone(), entry.value.clone());
    Stored { key, value, revision: entry.modified.0 }
}

/// Converts the store's answer to a batch to the journal's result type.
pub(super) fn to_commit(outcome: Result<TxnOutcome, vg_store::Error>) -> vg_jobs::Commit {
    match outcome {
        Ok(TxnOutcome::Committed { revision }) => vg_jobs::Commit::Done { revision: revision.0 },
        Ok(TxnOutcome::Conflict { .. }) => vg_jobs::Commit::Conflict,
        Err(error) if error.had_no_effect() => vg_jobs::Commit::Unreached,
        Err(_) => vg_jobs::Commit::Lost,
    }
}
