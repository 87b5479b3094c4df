//! A fake store in memory.

use std::collections::BTreeMap;

use bytes::Bytes;
use vg_base::prelude::*;
use vg_jobs::{Batch, Expect, Stored, Write, journal_prefix};

#[derive(Debug, Default, Clone)]
pub(crate) struct FakeStore {
    /// Each value with the revision of its last write.
    pub(crate) values: BTreeMap<SmolStr, (Bytes, i64)>,
    revision: i64,
}

impl FakeStore {
    /// Commits a batch. Returns the revision, or `None` on a conflict.
    pub(crate) fn commit(&mut self, batch: &Batch) -> Option<i64> {
        self.transact(&batch.expects, &batch.writes)
    }

    /// Applies the writes if all conditions hold. Panics on a value of 256 KB or more.
    pub(crate) fn transact(&mut self, expects: &[Expect], writes: &[Write]) -> Option<i64> {
        let held = |key: &SmolStr| self.values.get(key).map(|(_, revision)| *revision);
        if expects.iter().any(|expect| held(&expect.key) != expect.revision) {
            return None;
        }
        self.revision += 1;
        for write in writes {
            match write {
                Write::Put { key, value } => {
                    assert!(value.len() < 256 * 1024, "{key} has {} bytes", value.len());
                    self.values.insert(key.clone(), (value.clone(), self.revision));
                }
                Write::Delete { key } => {
                    self.values.remove(key);
                }
            }
        }
        Some(self.revision)
    }

    pub(crate) fn get(&self, key: &str) -> Option<Stored> {
        let (value, revision) = self.values.get(key)?;
        Some(Stored { key: key.into(), value: value.clone(), revision: *revision })
    }

    pub(crate) fn head(&self, pool: &PoolId) -> Option<Stored> {
        self.get(&format!("{}head", journal_prefix(pool)))
    }

    /// Returns all values of one pool.
    pub(crate) fn under(&self, pool: &PoolId) -> Vec<Stored> {
        let prefix = journal_prefix(pool);
        self.range().into_iter().filter(|each| each.key.starts_with(prefix.as_str())).collect()
    }

    pub(crate) fn range(&self) -> Vec<Stored> {
        self.values.keys().filter_map(|key| self.get(key)).collect()
    }
}
