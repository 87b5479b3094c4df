//! Schedules jobs, which are graphs of steps: order, placement, attempts and
//! their outcomes.
//!
//! A [`Scheduler`] is the state of the leader, the one host that decides for
//! the whole fleet. It does no I/O and has no clock: each input carries the
//! time, and decisions are returned as [`Action`]s. State that must survive the
//! leader is returned as [`Record`]s. The end of an attempt is acknowledged to
//! its worker only when the records that depend on it are durable.

mod action;
mod admission;
mod advise;
mod answers;
mod attempt;
mod cadence;
mod commit;
mod config;
mod contention;
mod crashes;
mod demand;
mod durations;
mod evict;
mod failed_steps;
mod fair_share;
mod gangs;
mod health;
mod health_report;
mod hold;
mod id;
mod intake;
mod job;
mod job_group;
mod job_size;
mod load;
mod load_digest;
mod losses;
mod machine_workers;
mod machines;
mod maintain;
mod observe;
mod past_usage;
mod place;
mod plan;
mod pool_measure;
mod preempt;
mod probes;
mod progress;
mod quarantine;
mod queue_work;
mod rank;
mod register;
mod remaining;
mod report;
mod resize;
mod retry_slots;
mod rules;
mod scheduler;
mod share_changes;
mod share_order;
mod sketch;
mod slow;
mod spec;
mod speculative;
mod start_window;
mod step_durations;
mod team_turns;
mod teams;
mod throttle;
mod tickets;
mod trials;
mod turns;
mod unresolved;
mod wave_choice;
mod worker;
mod worker_health;
mod zone_drain;
mod zone_exit;

pub use action::{Action, MachineCommand, StartCommand, StopReason};
pub use admission::{Admission, DIGEST_MAX_AGE, Rejection, decide, expected_wait};
pub use answers::{RefusalReason, StartAnswer};
pub use commit::{CommitBatch, Record, RecordKind};
pub use config::{AdviserTiming, OperatorConfig, Pool, Queue, SHARE_UNIT, Team, key_digest};
pub use contention::{PoolContention, TeamContention};
pub use crashes::{CrashMark, DeadlyTask, Suspicion};
pub use durations::DurationQuantiles;
pub use fair_share::{TeamDemand, allocate};
pub use health_report::{DoubtfulWorker, HealthChange};
pub use id::{AttemptNumber, FencingToken, StepId, TaskId};
pub use job::JobState;
pub use job_size::{SizeClass, WorkBySize};
pub use load::{Backlog, LoadDigest, MachineTime, MilliMachines, PoolLoad, QueueSizes, TeamLoad};
pub use losses::{LossCause, LostAttempt};
pub use machines::{CommandTarget, Machine, MachineAnswer, MachineState};
pub use maintain::{Wave, WaveRecord, WaveState};
pub use progress::{JobOutcome, OccurrenceProgress, Progress};
pub use quarantine::WorkerEvidence;
pub use rank::{Rank, RankInput, Timeliness, rank};
pub use register::{PollFailure, Renewal};
pub use report::{AttemptOutcome, EndedAttempt, Report, RunningAttempt};
pub use retry_slots::{PoolTeam, RETRY_MAX, RetrySlots};
pub use rules::SchedulingRules;
pub use scheduler::{Counts, Scheduler};
pub use share_changes::ShareChange;
pub use spec::{JobSpec, Schedule, SpecError, StepSpec};
pub use unresolved::IncarnationRecord;
pub use worker::{WorkerIncarnation, WorkerRegistration};
pub use zone_drain::ZoneDrainStatus;
