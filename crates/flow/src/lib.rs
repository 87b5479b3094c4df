//! Jobs as graphs of steps: order, placement, runs and their ends.
//!
//! A [`Flow`] is the state of the one host that decides for the whole fleet. It
//! does no I/O and has no clock: inputs come with the time, decisions leave as
//! [`Action`]s. What must last leaves as [`Record`]s, and a worker's ends are
//! acknowledged only when the records behind them are durable.

mod action;
mod advise;
mod answers;
mod attempt;
mod commit;
mod config;
mod demand;
mod gangs;
mod health;
mod id;
mod intake;
mod job;
mod machines;
mod maintain;
mod observe;
mod place;
mod plan;
mod preempt;
mod progress;
mod rank;
mod register;
mod report;
mod resize;
mod rules;
mod scheduler;
mod slow;
mod spec;
mod speculative;
mod throttle;
mod tickets;
mod unresolved;
mod worker;

pub use action::{Action, MachineCommand, StartCommand, StopReason};
pub use answers::{RefusalReason, StartAnswer};
pub use commit::{CommitBatch, Record, RecordKind};
pub use config::{AdviserTiming, OperatorConfig, Pool, Queue, Team, key_digest};
pub use id::{AttemptNumber, FencingToken, StepId, TaskId};
pub use job::JobState;
pub use machines::{Machine, MachineAnswer, MachineState};
pub use maintain::{Wave, WaveRecord, WaveState};
pub use progress::{JobOutcome, OccurrenceProgress, Progress};
pub use rank::{Rank, RankInput, Timeliness, rank};
pub use register::Renewal;
pub use report::{AttemptOutcome, EndedAttempt, Report, RunningAttempt};
pub use rules::SchedulingRules;
pub use scheduler::{Counts, Scheduler};
pub use spec::{JobSpec, Schedule, SpecError, StepSpec};
pub use unresolved::IncarnationRecord;
pub use worker::{WorkerIncarnation, WorkerRegistration};
