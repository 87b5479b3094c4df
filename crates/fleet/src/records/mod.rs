//! The records of all hosts, as the store has them.
//!
//! Records are kept in [`SHARD_COUNT`] values by a hash of the host, and the
//! head names the planner and the last batch. A host's record never leaves its
//! shard, because its pool is a field: a move is a write of one value.

mod batch;
mod codec;
mod error;
mod flight;
mod head;
mod orders;

use std::collections::{BTreeMap, BTreeSet};

use smol_str::format_smolstr;
use vg_base::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

pub use self::batch::{Batch, BatchId, Commit, CommitOutcome, Expect, Stored, Write};
pub use self::error::RecordsError;
pub use self::head::claim;

use self::error::{BatchPendingSnafu, MissingShardSnafu, NotPlannerSnafu};
use self::flight::Flight;
use self::head::Head;
use crate::{HostRecord, Transition, WallTime, WriteContext};

/// Key of the head.
pub const HEAD_KEY: SmolStr = SmolStr::new_static("vg/fleet/head");
/// What all keys of the records begin with.
pub const KEY_PREFIX: &str = "vg/fleet/";
/// Values that the records are spread over.
pub const SHARD_COUNT: usize = 16;

type Hosts = BTreeMap<HostId, HostRecord>;

/// The records of all hosts, held by the planner.
#[derive(Debug, Clone)]
pub struct Records {
    head: Head,
    head_revision: i64,
    revisions: [Option<i64>; SHARD_COUNT],
    durable: Hosts,
    staged: Hosts,
    dirty: BTreeSet<usize>,
    flight: Option<Flight>,
}

impl Records {
    /// Reads the records that `member` holds as the planner.
    ///
    /// # Errors
    ///
    /// When another member is the planner, or a value can't be read.
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
        let (dirty, flight) = (BTreeSet::new(), None);
        let head_revision = stored.revision;
        Ok(Records { head, head_revision, revisions, durable, staged, dirty, flight })
    }

    /// Returns the planner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.head.epoch
    }

    /// Whether a batch is under way; nothing can be staged until it is settled.
    pub fn has_pending(&self) -> bool {
        self.flight.is_some()
    }

    /// Returns the records with all staged steps.
    pub fn hosts(&self) -> &Hosts {
        &self.staged
    }

    /// Returns the records that are durable.
    pub fn durable(&self) -> &Hosts {
        &self.durable
    }

    /// Stages a step for the next batch.
    ///
    /// # Errors
    ///
    /// When a batch is under way, or the step does not follow from the state.
    pub fn stage(&mut self, step: &Transition, now: WallTime) -> Result<(), RecordsError> {
        if self.has_pending() {
            return BatchPendingSnafu.fail();
        }
        let next = step.apply(self.staged.get(&step.host), self.write_context(now))?;
        match next {
            Some(record) => self.staged.insert(step.host.clone(), record),
            None => self.staged.remove(&step.host),
        };
        self.dirty.insert(shard_of(&step.host));
        Ok(())
    }

    /// Returns what the steps of the next batch are marked with.
    pub fn write_context(&self, now: WallTime) -> WriteContext {
        WriteContext { epoch: self.head.epoch, version: self.head.batch.seq + 1, now }
    }

    /// Gives out the staged steps as one batch, or the one under way again.
    ///
    /// # Errors
    ///
    /// When a record can't be encoded.
    pub fn batch(&mut self) -> Result<Option<Batch>, RecordsError> {
        if let Some(flight) = &self.flight {
            return Ok(Some(flight.batch.clone()));
        }
        if self.dirty.is_empty() {
            return Ok(None);
        }
        let flight = self.take_off()?;
        let batch = flight.batch.clone();
        self.flight = Some(flight);
        Ok(Some(batch))
    }

    /// Takes the store's answer to the batch under way.
    pub fn handle_commit(&mut self, id: BatchId, commit: Commit) -> CommitOutcome {
        let Some(mut flight) = self.flight.take_if(|flight| flight.batch.id == id) else {
            return CommitOutcome::Stale;
        };
        match commit {
            Commit::Done { revision } => self.land(flight, revision),
            Commit::Unreached => self.discard(),
            Commit::Conflict | Commit::Lost => {
                flight.refused = commit == Commit::Conflict;
                self.flight = Some(flight);
                CommitOutcome::ReadHead
            }
        }
    }

    /// Settles the batch under way by the head as read after a conflict or a
    /// lost answer.
    ///
    /// # Errors
    ///
    /// When the head can't be read.
    pub fn handle_head(&mut self, stored: &Stored) -> Result<CommitOutcome, RecordsError> {
        let head: Head = codec::decode(stored)?;
        if head.epoch != self.head.epoch || head.holder != self.head.holder {
            return Ok(CommitOutcome::Fenced);
        }
        let Some(flight) = self.flight.take() else { return Ok(CommitOutcome::Stale) };
        if head.batch == flight.batch.id {
            return Ok(self.land(flight, stored.revision));
        }
        if flight.refused && stored.revision == self.head_revision {
            // The head did not change, so a shard must have; this batch never
            // takes effect.
            self.discard();
            return Ok(CommitOutcome::Reload);
        }
        // The write may still be on its way. Its conditions let it take effect
        // once only, so the same batch is sent again until one of them is seen.
        self.flight = Some(flight);
        Ok(CommitOutcome::Retry)
    }

    fn take_off(&self) -> Result<Flight, RecordsError> {
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
        Ok(Flight {
            batch: Batch { id: head.batch, expects, writes },
            head,
            shards,
            refused: false,
        })
    }

    fn land(&mut self, flight: Flight, revision: i64) -> CommitOutcome {
        self.head = flight.head;
        self.head_revision = revision;
        for shard in flight.shards {
            self.revisions[shard] = Some(revision);
        }
        self.durable = self.staged.clone();
        self.dirty.clear();
        CommitOutcome::Durable
    }

    fn discard(&mut self) -> CommitOutcome {
        self.staged = self.durable.clone();
        self.dirty.clear();
        CommitOutcome::Dropped
    }
}

/// Reads the records of all hosts from the values under [`KEY_PREFIX`]; needs no
/// planner's role.
///
/// # Errors
///
/// When a value can't be read.
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
