//! The records of all hosts in the store.
//!
//! The records are distributed over [`SHARD_COUNT`] values by a hash of the host
//! id. The head names the planner and the last batch. The pool is a field of the
//! record, so a record never changes its shard and a move writes one shard only.

mod batch;
mod codec;
mod commands;
mod error;
mod head;
mod pending;

use std::collections::{BTreeMap, BTreeSet};

use smol_str::format_smolstr;
use vg_base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

pub use self::batch::{Batch, BatchId, Commit, CommitOutcome, Expect, Stored, Write};
pub use self::error::RecordsError;
pub use self::head::claim;

use self::error::{BatchPendingSnafu, MissingShardSnafu, NotPlannerSnafu};
use self::head::Head;
use self::pending::PendingBatch;
use crate::{HostRecord, Transition, WallTime, WriteContext};

/// Store key of the head.
pub const HEAD_KEY: SmolStr = SmolStr::new_static("vg/fleet/head");
/// Prefix of all store keys of the records.
pub const KEY_PREFIX: &str = "vg/fleet/";
/// Number of store values over which the records are distributed.
pub const SHARD_COUNT: usize = 16;

type Hosts = BTreeMap<HostId, HostRecord>;

/// The records of all hosts, as held by the planner.
#[derive(Debug, Clone)]
pub struct Records {
    head: Head,
    /// Store revision of the last write of the head.
    head_revision: i64,
    /// Store revision of the last write of each shard; `None` if it was never written.
    revisions: [Option<i64>; SHARD_COUNT],
    durable: Hosts,
    /// The durable records with all staged transitions applied.
    staged: Hosts,
    /// Shards with staged transitions.
    dirty: BTreeSet<usize>,
    pending: Option<PendingBatch>,
}

impl Records {
    /// Reads all records for `member`, which must be the planner.
    ///
    /// # Errors
    ///
    /// If another member is the planner, a value can't be read, or a shard that
    /// was written is missing.
    pub fn recover(member: &Member, values: &[Stored]) -> Result<Records, RecordsError> {
        let stored = values.iter().find(|each| each.key == HEAD_KEY);
        let stored = stored.ok_or_else(|| NotPlannerSnafu { holder: "nobody" }.build())?;
        let head: Head = codec::decode(stored)?;
        if head.holder != *member {
            return NotPlannerSnafu { holder: format_smolstr!("{}", head.holder) }.fail();
        }
        let mut revisions = [None; SHARD_COUNT];
        for (shard, revision) in revisions.iter_mut().enumerate() {
            let key = shard_key(shard);
            *revision = values.iter().find(|each| each.key == key).map(|each| each.revision);
            let written = head.written & (1 << shard) != 0;
            if written && revision.is_none() {
                return MissingShardSnafu { key }.fail();
            }
        }
        let durable = read_hosts(values)?;
        let staged = durable.clone();
        let (dirty, pending) = (BTreeSet::new(), None);
        let head_revision = stored.revision;
        Ok(Records { head, head_revision, revisions, durable, staged, dirty, pending })
    }

    /// Returns the planner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.head.epoch
    }

    /// Returns whether a batch is pending. Nothing can be staged until its outcome
    /// is known.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the records with all staged transitions applied.
    pub fn hosts(&self) -> &Hosts {
        &self.staged
    }

    /// Returns the durable records.
    pub fn durable(&self) -> &Hosts {
        &self.durable
    }

    /// Stages a transition for the next batch.
    ///
    /// # Errors
    ///
    /// If a batch is pending, or the transition is not possible in the state of
    /// the host.
    pub fn stage(&mut self, transition: &Transition, now: WallTime) -> Result<(), RecordsError> {
        if self.has_pending() {
            return BatchPendingSnafu.fail();
        }
        let next = transition.apply(self.staged.get(&transition.host), self.write_context(now))?;
        match next {
            Some(record) => self.staged.insert(transition.host.clone(), record),
            None => self.staged.remove(&transition.host),
        };
        self.dirty.insert(shard_of(&transition.host));
        Ok(())
    }

    /// Returns the values that are written into the records of the next batch.
    pub fn write_context(&self, now: WallTime) -> WriteContext {
        WriteContext { epoch: self.head.epoch, version: self.head.batch.seq + 1, now }
    }

    /// Returns the pending batch. If there is none, makes the staged transitions
    /// the pending batch; returns `None` if nothing is staged.
    ///
    /// # Errors
    ///
    /// If a record can't be encoded.
    pub fn batch(&mut self) -> Result<Option<Batch>, RecordsError> {
        if let Some(pending) = &self.pending {
            return Ok(Some(pending.batch.clone()));
        }
        if self.dirty.is_empty() {
            return Ok(None);
        }
        let pending = self.build_batch()?;
        let batch = pending.batch.clone();
        self.pending = Some(pending);
        Ok(Some(batch))
    }

    /// Handles the store's answer to the pending batch.
    pub fn handle_commit(&mut self, id: BatchId, commit: Commit) -> CommitOutcome {
        let Some(mut pending) = self.pending.take_if(|pending| pending.batch.id == id) else {
            return CommitOutcome::Stale;
        };
        match commit {
            Commit::Committed { revision } => self.apply_commit(pending, revision),
            Commit::Unreached => self.discard_staged(),
            Commit::Conflict | Commit::Lost => {
                pending.conflicted = commit == Commit::Conflict;
                self.pending = Some(pending);
                CommitOutcome::ReadHead
            }
        }
    }

    /// Resolves the outcome of the pending batch from the head, which was read
    /// after a conflict or a lost answer.
    ///
    /// # Errors
    ///
    /// If the head can't be read.
    pub fn handle_head(&mut self, stored: &Stored) -> Result<CommitOutcome, RecordsError> {
        let head: Head = codec::decode(stored)?;
        if head.epoch != self.head.epoch || head.holder != self.head.holder {
            return Ok(CommitOutcome::Fenced);
        }
        let Some(pending) = self.pending.take() else { return Ok(CommitOutcome::Stale) };
        if head.batch == pending.batch.id {
            return Ok(self.apply_commit(pending, stored.revision));
        }
        if pending.conflicted && stored.revision == self.head_revision {
            // The head did not change, so another writer must have changed a
            // shard. This batch never takes effect.
            self.discard_staged();
            return Ok(CommitOutcome::Reload);
        }
        // The write may still take effect later. Its conditions let it take effect
        // only once, so the same batch is sent again until the head shows that one
        // of the attempts took effect.
        self.pending = Some(pending);
        Ok(CommitOutcome::Retry)
    }

    fn build_batch(&self) -> Result<PendingBatch, RecordsError> {
        let shards = self.dirty.clone();
        let mut head = self.head.clone();
        head.batch = BatchId { epoch: head.epoch, seq: head.batch.seq + 1 };
        head.written |= shards.iter().fold(0, |bits, shard| bits | 1 << shard);
        let mut expects = vec![Expect { key: HEAD_KEY, revision: Some(self.head_revision) }];
        let mut writes = vec![Write { key: HEAD_KEY, value: codec::encode(&HEAD_KEY, &head)? }];
        for &shard in &shards {
            let key = shard_key(shard);
            expects.push(Expect { key: key.clone(), revision: self.revisions[shard] });
            let hosts = self.staged.values().filter(|each| shard_of(&each.host) == shard);
            let hosts: Vec<&HostRecord> = hosts.collect();
            writes.push(Write { value: codec::encode(&key, &hosts)?, key });
        }
        Ok(PendingBatch {
            batch: Batch { id: head.batch, expects, writes },
            head,
            shards,
            conflicted: false,
        })
    }

    fn apply_commit(&mut self, pending: PendingBatch, revision: i64) -> CommitOutcome {
        self.head = pending.head;
        self.head_revision = revision;
        for shard in pending.shards {
            self.revisions[shard] = Some(revision);
        }
        self.durable = self.staged.clone();
        self.dirty.clear();
        CommitOutcome::Durable
    }

    fn discard_staged(&mut self) -> CommitOutcome {
        self.staged = self.durable.clone();
        self.dirty.clear();
        CommitOutcome::Dropped
    }
}

/// Reads the records of all hosts from the values under [`KEY_PREFIX`]. The caller
/// need not be the planner.
///
/// # Errors
///
/// If a value can't be read.
pub fn read_hosts(values: &[Stored]) -> Result<BTreeMap<HostId, HostRecord>, RecordsError> {
    let mut hosts = Hosts::new();
    for stored in values.iter().filter(|each| each.key.starts_with("vg/fleet/hosts/")) {
        let records: Vec<HostRecord> = codec::decode(stored)?;
        hosts.extend(records.into_iter().map(|each| (each.host.clone(), each)));
    }
    Ok(hosts)
}

fn shard_of(host: &HostId) -> usize {
    (xxh3_64(host.as_str().as_bytes()) % SHARD_COUNT as u64) as usize
}

fn shard_key(shard: usize) -> SmolStr {
    format_smolstr!("vg/fleet/hosts/{shard:02}")
}
