//! The shards over which the records of incarnations are spread in the store.
//!
//! A change of one worker writes its shard only: a record of all workers would be
//! written again for each of them, some times a second.

use vg_base::prelude::*;
use vg_flow::{FencingToken, IncarnationRecord};
use vg_store::{Entry, StoreRevision, Value};
use xxhash_rust::xxh3::xxh3_64;

use crate::codec::encode;
use crate::keys::{self, INCARNATIONS_MOVED};

/// Number of shards.
const SHARDS: usize = 64;
/// Number of shards that one transaction writes. Each needs a condition and a
/// write, beside those for the term and the leader key.
pub(super) const SHARDS_PER_TXN: usize = 14;

/// A shard as it is in the store.
#[derive(Debug, Clone, Default)]
struct Shard {
    revision: Option<StoreRevision>,
    /// `None` if the shard may have another content, because a write of it was not
    /// answered.
    value: Option<Value>,
}

/// All shards as last written.
#[derive(Debug)]
pub(super) struct IncarnationShards {
    shards: Vec<Shard>,
    /// Revision of the record of all incarnations that an earlier version wrote, if
    /// it is still to be replaced; `None` inside if there is no such record.
    pub(super) earlier: Option<Option<StoreRevision>>,
    /// Highest revision at which this leader has written a shard, as a fencing token: it is
    /// higher than the term, and lower than that of any later leader.
    pub(super) latest: FencingToken,
}

impl IncarnationShards {
    /// Creates the shards that are in the store at a takeover with `token`. `all` is the
    /// record under the key that earlier versions used.
    pub(super) fn new(
        entries: &[Entry],
        all: Option<&Entry>,
        token: FencingToken,
    ) -> IncarnationShards {
        let is_replaced = all.is_some_and(|entry| entry.value == INCARNATIONS_MOVED);
        let earlier = (!is_replaced).then(|| all.map(|entry| entry.modified));
        let absent = Shard { revision: None, value: Some(Value::new()) };
        let mut shards = IncarnationShards { shards: vec![absent; SHARDS], earlier, latest: token };
        for entry in entries {
            if let Some(shard) = keys::parse_incarnation_shard(&entry.key) {
                shards.set(shard, Some(entry.modified), entry.value.clone());
            }
        }
        shards
    }

    pub(super) fn set(&mut self, shard: usize, revision: Option<StoreRevision>, value: Value) {
        if let Some(known) = self.shards.get_mut(shard) {
            *known = Shard { revision, value: Some(value) };
        }
    }

    /// Notes that this leader has written shards, under the condition of its term.
    pub(super) fn note_committed(&mut self, revision: StoreRevision) {
        self.latest = self.latest.max(FencingToken(revision.0 as u64));
    }

    /// Notes that a write of a shard was not answered, so that the shard is written
    /// again whatever its content is to be.
    pub(super) fn mark_unknown(&mut self, shard: usize) {
        if let Some(known) = self.shards.get_mut(shard) {
            known.value = None;
        }
    }

    pub(super) fn revision(&self, shard: usize) -> Option<StoreRevision> {
        self.shards.get(shard).and_then(|known| known.revision)
    }

    /// Returns the shards whose content differs from the one last written, each
    /// with its new content. `None` if a record can not be encoded.
    pub(super) fn changed(&self, records: &[IncarnationRecord]) -> Option<Vec<(usize, Value)>> {
        let mut shards = vec![Vec::new(); SHARDS];
        for record in records {
            shards[shard_of(&record.incarnation.id)].push(record);
        }
        let mut changed = Vec::new();
        for (at, mut records) in shards.into_iter().enumerate() {
            let known = &self.shards[at];
            let is_absent = known.revision.is_none() && known.value.is_some();
            if records.is_empty() && is_absent {
                continue;
            }
            records.sort_unstable_by(|a, b| a.incarnation.id.cmp(&b.incarnation.id));
            let value = encode(&records)?;
            if known.value.as_ref() != Some(&value) {
                changed.push((at, value));
            }
        }
        Some(changed)
    }
}

fn shard_of(id: &HostId) -> usize {
    (xxh3_64(id.as_str().as_bytes()) % SHARDS as u64) as usize
}
