//! Hosts, pools, maintenance waves and moves.
//!
//! [`Records`] holds one record a host as the store has it and turns changes
//! into compare-and-swapped [`Batch`]es. [`Planner`] compares the records with
//! the host list and the reports of hosts and decides the next [`Transition`]s. Both
//! decide only: no I/O, no clock, no threads. A step takes effect when its batch
//! is durable; [`Records::commands`] then tells what hosts have to be told.

mod budget;
mod explain;
pub mod faults;
mod limits;
mod listed;
mod notice;
mod order;
mod planner;
mod rates;
mod record;
mod records;
mod report;
mod state;
mod step;
mod time;

pub use budget::{Budget, Location};
pub use explain::{HostStatus, PoolStatus, Remedy, WaitReason};
pub use limits::Limits;
pub use listed::ListedHost;
pub use notice::Discrepancy;
pub use order::HostCommand;
pub use planner::Planner;
pub use rates::Measurements;
pub use record::HostRecord;
pub use records::{
    Batch, BatchId, Commit, CommitOutcome, Expect, HEAD_KEY, KEY_PREFIX, Records, RecordsError,
    SHARD_COUNT, Stored, Write, claim, read_hosts,
};
pub use report::HostReport;
pub use state::{DrainPurpose, HostState};
pub use step::{Adoption, Change, Transition, TransitionError, WriteContext};
pub use time::WallTime;
