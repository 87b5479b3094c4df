//! Batches of several pools in one transaction.

use vg_base::prelude::*;

use super::{Batch, BatchId, Expect, Write};

/// Most bytes of one transaction.
const GROUP_MAX_BYTES: usize = 768 * 1024;

/// Most writes of one transaction.
const GROUP_MAX_WRITES: usize = 100;

/// Batches of pools of one owner, committed as one transaction: the store
/// counts calls, and an owner has several pools.
///
/// Hand the store's answer to each pool's [`Journal`](super::Journal). If one
/// pool was lost to another owner, all get a conflict: that one finds itself
/// fenced, and the others are told to commit their batches again.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct BatchGroup {
    /// The batches that it is made of.
    pub members: Vec<(PoolId, BatchId)>,
    /// The conditions.
    pub expects: Vec<Expect>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl BatchGroup {
    /// Joins batches into as few transactions as the bounds allow.
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
