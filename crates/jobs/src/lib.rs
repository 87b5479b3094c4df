//! Durable jobs: states, placement on workers, and recovery.
//!
//! A [`Shard`] holds the jobs of one pool. It performs no I/O: it takes inputs
//! together with the current time, and returns [`Action`]s to carry out and
//! [`Batch`]es to commit to the store. An answer to a caller or a message to a
//! worker is not returned before the change that it depends on is durable.

mod action;
mod attempt;
mod estimates;
mod health;
mod job;
mod journal;
mod lane;
mod limits;
mod now;
mod policy;
mod report;
mod resources;
mod shard;
mod spec;
mod state;
mod worker;
mod workers;

pub use action::{Action, Start, Task};
pub use attempt::Attempt;
pub use estimates::Estimates;
pub use health::{Health, HealthChange};
pub use job::{Job, WorkerIncarnation};
pub use journal::{
    Batch, BatchGroup, BatchId, Commit, CommitOutcome, Durability, DurableState, Expect, Journal,
    JournalError, Recovered, RecoveredJob, RecoveryEvent, StageId, Stored, Write, claim,
    journal_prefix, recover,
};
pub use lane::{Lane, LaneView};
pub use limits::Limits;
pub use now::Now;
pub use policy::{LanePolicy, WeightedPolicy};
pub use report::{Report, ReportError};
pub use resources::{Accelerators, Cores, Memory, Resources};
pub use shard::{CancelOutcome, RoundReport, Shard, SubmitError, SubmitOutcome};
pub use spec::{Class, JobSpec, PAYLOAD_MAX_BYTES, SpecError};
pub use state::{FailureCause, JobState, Transition, TransitionError};
pub use worker::{Heartbeat, Usage, WorkerSpec, WorkerState};
