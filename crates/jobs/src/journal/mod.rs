//! The durable record of one pool's jobs.
//!
//! The journal is a log of bounded segments under `vg/jobs/{pool}/log/`, and a head
//! that names the owner. Every batch is one transaction that is conditional on the
//! head's revision, so that the batch of a fenced owner fails and a batch that is
//! sent again takes effect only once.

mod batch;
mod error;
mod frame;
mod group;
mod head;
mod index;
mod job_records;
mod log;
mod record;
mod recover;
mod segment;

pub use batch::{
    Batch, BatchId, Commit, CommitOutcome, Durability, Expect, StageId, Stored, Write,
};
pub use error::JournalError;
pub use group::BatchGroup;
pub use head::claim;
pub use log::Journal;
pub use record::DurableState;
pub use recover::{Recovered, RecoveredJob, RecoveryEvent, recover};

pub(crate) use record::Record;

use vg_base::prelude::*;

/// Returns the prefix of all keys of a pool's journal.
pub fn journal_prefix(pool: &PoolId) -> SmolStr {
    smol_str::format_smolstr!("vg/jobs/{pool}/")
}

fn head_key(pool: &PoolId) -> SmolStr {
    smol_str::format_smolstr!("vg/jobs/{pool}/head")
}

fn log_key(pool: &PoolId, seq: u64) -> SmolStr {
    smol_str::format_smolstr!("vg/jobs/{pool}/log/{seq:016x}")
}
