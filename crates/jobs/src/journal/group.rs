//! Joins the batches of several pools into one transaction.

use vg_base::prelude::*;

use super::{Batch, BatchId, Expect, Write};

/// Largest number of bytes in one transaction.
const GROUP_MAX_BYTES: usize = 768 * 1024;

/// Largest number of writes in one transaction.
const GROUP_MAX_WRITES: usize = 100;

/// Batches of several pools of one owner, committed as one transaction: the store's
/// budget counts calls, and an owner has several pools.
///
/// The store's answer is passed to the [`Journal`](super::Journal) of each pool. If
/// one pool was lost to another owner, all pools get a conflict: the journal of
/// that pool finds itself fenced, and the others are told to commit their batches
/// again.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BatchGroup {
    /// The pool and id of each batch in the group.
    pub members: Vec<(PoolId, BatchId)>,
    /// The conditions.
    pub expects: Vec<Expect>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl BatchGroup {
    /// Joins batches into as few transactions as the limits allow, in their order.
    pub fn join(batches: Vec<(PoolId, Batch)>) -> Vec<BatchGroup> {
        let mut groups: Vec<BatchGroup> = Vec::new();
        let mut bytes = 0;
        for (pool, batch) in batches {
            bytes += batch.bytes();
            let writes = groups.last().map_or(0, |group| group.writes.len());
            let full = bytes > GROUP_MAX_BYTES || writes + batch.writes.len() > GROUP_MAX_WRITES;
            if full || groups.is_empty() {
                bytes = batch.bytes();
                groups.push(BatchGroup::default());
            }
            if let Some(group) = groups.last_mut() {
                group.add(pool, batch);
            }
        }
        groups
    }

    fn add(&mut self, pool: PoolId, batch: Batch) {
        self.members.push((pool, batch.id));
        self.expects.extend(batch.expects);
        self.writes.extend(batch.writes);
    }
}
