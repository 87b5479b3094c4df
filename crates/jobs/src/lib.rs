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
pub use health::{Health, HealthChange};
pub use job::{Job, WorkerInstance};
pub use journal::{
    Batch, BatchGroup, BatchId, Commit, CommitOutcome, Durability, DurableState, Expect, Journal,
    JournalError, Recovered, RecoveredJob, RecoveryEvent, StageId, Stored, Write, claim,
    journal_prefix, recover,
};
pub use lane::{Lane, LaneView};
pub use learn::Estimates;
pub use limits::Limits;
pub use now::Now;
pub use order::{LanePolicy, WeightedPolicy};
pub use report::{Report, ReportError};
pub use resources::{Accelerators, Cores, Memory, Resources};
pub use shard::{CancelOutcome, RoundReport, Shard, SubmitError, SubmitOutcome};
pub use spec::{Class, JobSpec, PAYLOAD_MAX_BYTES, SpecError};
pub use state::{FailureCause, JobState, Transition, TransitionError};
pub use worker::{Heartbeat, Usage, WorkerSpec, WorkerState};
