//! Decides which hosts serve which pools, and when hosts are maintained or moved.
//!
//! [`Records`] holds the stored record of each host and turns changes into
//! [`Batch`]es, which are committed by compare-and-swap. [`Planner`] compares the
//! records with the host list and the reports about hosts and decides the next
//! [`Transition`]s. Both hold decision logic only and use no I/O, clock or
//! threads. A transition takes effect when its batch is durable;
//! [`Records::commands`] then returns the commands that follow from it.

mod budget;
mod command;
mod discrepancy;
pub mod faults;
mod limits;
mod listed;
mod measurements;
mod planner;
mod record;
mod records;
mod report;
mod state;
mod status;
mod transition;
mod wall_time;

pub use budget::{Budget, Location};
pub use command::HostCommand;
pub use discrepancy::Discrepancy;
pub use limits::Limits;
pub use listed::ListedHost;
pub use measurements::Measurements;
pub use planner::Planner;
pub use record::HostRecord;
pub use records::{
    Batch, BatchId, Commit, CommitOutcome, Expect, HEAD_KEY, KEY_PREFIX, Records, RecordsError,
    SHARD_COUNT, Stored, Write, claim, read_hosts,
};
pub use report::HostReport;
pub use state::{DrainPurpose, HostState};
pub use status::{HostStatus, PoolStatus, Remedy, WaitReason};
pub use transition::{Adoption, Change, Transition, TransitionError, WriteContext};
pub use wall_time::WallTime;
