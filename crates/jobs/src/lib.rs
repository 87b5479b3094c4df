//! Durable jobs: states, placement and recovery.
//!
//! A [`Shard`] holds the jobs of one pool. It decides only: it takes inputs and
//! the time, and gives [`Action`]s to carry out and [`Batch`]es to commit to the
//! store. What a caller is told, and what a worker is sent, waits until the
//! change behind it is durable.

mod action;
mod attempt;
mod health;
mod job;
mod journal;
mod lane;
mod learn;
mod limits;
mod now;
mod order;
mod report;
mod resources;
mod shard;
mod spec;
mod state;
mod worker;
mod workers;

pub use action::{Action, Start, Task};
pub use attempt::Attempt;
pub use health::{Health, Verdict};
pub use job::{Job, Site};
pub use journal::{
    Batch, BatchId, Commit, Expect, Fate, Group, Journal, JournalError, Recovered, RecoveredJob,
    RecoveryEvent, Settlement, StageId, Standing, Stored, Write, claim, recover, segment_prefix,
};
pub use lane::{Lane, LaneView};
pub use learn::Estimates;
pub use limits::Limits;
pub use now::Now;
pub use order::{Order, Weighted};
pub use report::{Refused, Report};
pub use resources::{Accelerators, Cores, Memory, Resources};
pub use shard::{CancelOutcome, Refusal, RoundReport, Shard, Submitted};
pub use spec::{Class, JobSpec, PAYLOAD_MAX_BYTES, SpecError};
pub use state::{Cause, JobState, StateError, Transition};
pub use worker::{Heartbeat, Usage, WorkerSpec, WorkerState};
