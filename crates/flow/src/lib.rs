//! Schedules jobs, which are graphs of steps: order, placement, attempts and
//! their outcomes.
//!
//! A [`Scheduler`] is the state of the leader, the one host that decides for
//! the whole fleet. It does no I/O and has no clock: each input carries the
//! time, and decisions are returned as [`Action`]s. State that must survive the
//! leader is returned as [`Record`]s. The end of an attempt is acknowledged to
//! its worker only when the records that depend on it are durable.

mod action;
mod cadence;
mod commit;
mod config;
mod counts;
mod id;
mod jobs;
mod learned;
mod order;
mod placement;
mod pools;
mod rules;
mod scheduler;
mod shares;
mod workers;

pub use action::{Action, MachineCommand, StartCommand, StartGround, StopReason};
pub use commit::{CommitBatch, Record, RecordKind};
pub use config::terms::JobTerms;
pub use config::{AdviserTiming, OperatorConfig, Pool, Queue, SHARE_UNIT, Team, key_digest};
pub use counts::Counts;
pub use id::{AttemptNumber, FencingToken, StepId, TaskId};
pub use jobs::crash_mark::{CrashMark, Suspicion};
pub use jobs::crashes::DeadlyTask;
pub use jobs::job::JobState;
pub use jobs::job_size::{SizeClass, WorkBySize};
pub use jobs::progress::{JobOutcome, OccurrenceProgress, Progress};
pub use jobs::spec::{JobSpec, Schedule, SpecError, StepSpec};
pub use learned::durations::DurationQuantiles;
pub use order::rank::{Rank, RankInput, Timeliness, rank};
pub use placement::advise::AdviserAnswer;
pub use pools::machines::{CommandTarget, Machine, MachineAnswer, MachineState};
pub use pools::maintain::{Wave, WaveRecord, WaveState};
pub use pools::wave_limit::EarlierCommand;
pub use pools::zone_drain::ZoneDrainStatus;
pub use rules::SchedulingRules;
pub use scheduler::Scheduler;
pub use shares::admission::{Admission, DIGEST_MAX_AGE, Rejection, decide, expected_wait};
pub use shares::advice_load::QueueAdvice;
pub use shares::contention::{PoolContention, TeamContention};
pub use shares::fair_share::{TeamDemand, allocate};
pub use shares::load::{
    Backlog, LoadDigest, MachineTime, MilliMachines, PoolLoad, QueueSizes, TeamLoad,
};
pub use shares::retry_slots::{PoolTeam, RETRY_MAX, RetrySlots};
pub use shares::share_changes::ShareChange;
pub use workers::answers::{RefusalReason, StartAnswer, StartReply};
pub use workers::health_report::{DoubtfulWorker, HealthChange};
pub use workers::lease::{LeaseCause, WorkerLease};
pub use workers::losses::LostAttempt;
pub use workers::proof::{Exchange, Finding, Proof, WorkerLife};
pub use workers::quarantine::WorkerEvidence;
pub use workers::register::{PollFailure, Renewal};
pub use workers::releases::{Release, ReleaseCause};
pub use workers::report::{AttemptOutcome, EndedAttempt, Report, RunningAttempt};
pub use workers::retained::RetainedWork;
pub use workers::unresolved::IncarnationRecord;
pub use workers::worker::{WorkerIncarnation, WorkerRegistration};
