//! Hosts, pools, maintenance waves and moves.
//!
//! [`Records`] holds one record a host as the store has it and turns changes
//! into compare-and-swapped [`Batch`]es. [`Planner`] compares the records with
//! the host list and the reports of hosts and decides the next [`Step`]s. Both
//! decide only: no I/O, no clock, no threads. A step takes effect when its batch
//! is durable; [`Records::orders`] then tells what hosts have to be told.

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

pub use budget::{Budget, Presence};
pub use explain::{HostAnswer, PoolAnswer, Remedy, Wait};
pub use limits::Limits;
pub use listed::ListedHost;
pub use notice::Notice;
pub use order::Order;
pub use planner::Planner;
pub use rates::Rates;
pub use record::HostRecord;
pub use records::{
    Batch, BatchId, Commit, Expect, HEAD_KEY, KEY_PREFIX, Records, RecordsError, SHARD_COUNT,
    Settlement, Stored, Write, claim, read_hosts,
};
pub use report::HostReport;
pub use state::{HostState, Purpose};
pub use step::{Adoption, Change, Mark, Step, StepError};
pub use time::Stamp;
