//! Jobs as graphs of steps: order, placement, runs and their ends.
//!
//! A [`Flow`] is the state of the one host that decides for the whole fleet. It
//! does no I/O and has no clock: inputs come with the time, decisions leave as
//! [`Action`]s. What must last leaves as [`Record`]s, and a worker's ends are
//! acknowledged only when the records behind them are durable.

mod action;
mod advise;
mod answers;
mod content;
mod copies;
mod demand;
mod doubt;
mod durable;
mod flow;
mod gangs;
mod health;
mod id;
mod intake;
mod job;
mod machines;
mod maintain;
mod observe;
mod order;
mod pace;
mod place;
mod plan;
mod preempt;
mod progress;
mod register;
mod report;
mod resize;
mod rules;
mod run;
mod slow;
mod spec;
mod tickets;
mod worker;

pub use action::{Action, MachineOrder, Start, StopReason};
pub use answers::{Refused, StartAnswer};
pub use content::{Advice, Content, Pool, Queue, Team, key_digest};
pub use doubt::LifeRecord;
pub use durable::{Record, RecordKind, Sweep};
pub use flow::{Counts, Flow};
pub use id::{Fence, Run, StepId, TaskId};
pub use job::State;
pub use machines::{Machine, MachineAnswer, MachineState};
pub use maintain::{Wave, WaveRecord, WaveState};
pub use order::{Hope, Rank, Standing, rank};
pub use progress::{Final, Progress, RoundProgress};
pub use register::Renewal;
pub use report::{EndRow, How, Report, RunRow};
pub use rules::Rules;
pub use spec::{JobSpec, Schedule, SpecFault, StepSpec};
pub use worker::{Entry, Life};
