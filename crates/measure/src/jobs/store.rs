//! An in-memory store that counts writes.

use std::collections::BTreeMap;

use bytes::Bytes;
use vg_base::prelude::*;
use vg_jobs::{Batch, Stored, Write};

/// An in-memory store that counts writes and written bytes.
#[derive(Debug, Default)]
pub(super) struct CountingStore {
    values: BTreeMap<SmolStr, (Bytes, i64)>,
    revision: i64,
    pub(super) writes: u64,
    pub(super) bytes: u64,
}

impl CountingStore {
    /// Commits a batch and returns the new revision, or `None` if an expected revision differs.
    pub(super) fn commit(&mut self, batch: &Batch) -> Option<i64> {
        self.writes += 1;
        self.bytes += batch.bytes() as u64;
        let current_revision = |key: &SmolStr| self.values.get(key).map(|(_, revision)| *revision);
        if batch.expects.iter().any(|expect| current_revision(&expect.key) != expect.revision) {
            return None;
        }
        self.revision += 1;
        for write in &batch.writes {
            match write {
                Write::Put { key, value } => {
                    self.values.insert(key.clone(), (value.clone(), self.revision));
                }
                Write::Delete { key } => {
                    self.values.remove(key);
                }
            }
        }
        Some(self.revision)
    }

    /// Returns all values in the order of their keys.
    pub(super) fn range(&self) -> Vec<Stored> {
        let stored = |(key, (value, revision)): (&SmolStr, &(Bytes, i64))| Stored {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        };
        self.values.iter().map(stored).collect()
    }

    /// Returns the head of the journal, if there is one.
    pub(super) fn head(&self) -> Option<Stored> {
        self.range().into_iter().find(|stored| stored.key.ends_with("/head"))
    }

    /// Returns the total size of all values in bytes.
    pub(super) fn stored_bytes(&self) -> usize {
        self.values.values().map(|(value, _)| value.len()).sum()
    }
}
