//! The actions that the leader has to carry out.

use std::sync::Arc;

use derive_more::Display;
use vg_base::prelude::*;
use vg_call::Permit;

use crate::{AttemptNumber, FencingToken, Proof, Release, StepId, TaskId, WorkerIncarnation};

/// An action for the leader to carry out. Messages may be lost; the caller
/// reports the result of each to the scheduler.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Start a task. The command is sent at most once.
    Start(StartCommand),
    /// Stop an attempt. The answer is reported to `Scheduler::stop_answered`.
    Stop {
        /// The incarnation that the attempt is on.
        incarnation: WorkerIncarnation,
        /// Fencing token of the command.
        token: FencingToken,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Why it is stopped.
        reason: StopReason,
    },
    /// Limit an attempt to a share of its speed.
    Throttle {
        /// The incarnation that the attempt is on.
        incarnation: WorkerIncarnation,
        /// Fencing token of the command.
        token: FencingToken,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Share of full speed in percent.
        percent: u8,
    },
    /// Ask the adviser which workers may run a step.
    AskAdviser {
        /// The step.
        step: StepId,
        /// Workers to ask about, those with sufficient free capacity first.
        workers: Vec<HostId>,
        /// Permission for the query, with its time limit.
        permit: Permit,
    },
    /// Send a command to a machine.
    Machine(MachineCommand),
}

/// Command to start an attempt of a task.
#[derive(Debug, Clone, PartialEq)]
pub struct StartCommand {
    /// The incarnation that is to run it. A worker with another id must refuse
    /// it; a later incarnation of the same worker may accept it.
    pub incarnation: WorkerIncarnation,
    /// Fencing token of the command.
    pub token: FencingToken,
    /// The task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// The job's payload.
    pub payload: Arc<str>,
    /// Time on the worker's clock in milliseconds after which the worker
    /// refuses the start.
    pub deadline_ms: u64,
    /// Checkpoint to continue from; empty to start from the beginning.
    pub checkpoint: SmolStr,
    /// Ticket of the adviser that permits the start; empty where none is
    /// needed.
    pub ticket: SmolStr,
    /// Why the attempt may start.
    pub ground: StartGround,
}

/// Why an attempt may start: what shows that no other one of its task can run.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StartGround {
    /// Its task has had no attempt: this leader knows its job since it was accepted.
    #[display("new")]
    New,
    /// An earlier leader may have started the task, and no record of a worker named it, or
    /// could have.
    #[display("unrecorded")]
    Unrecorded,
    /// An earlier leader may have started the task, and the last worker was resolved that may
    /// have run it.
    #[display("{_0}")]
    Released(Release),
    /// The attempt before can't run.
    #[display("{}", _0.finding())]
    After(Proof),
    /// Its step permits several attempts of a task at the same time.
    #[display("copy")]
    Copy,
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopReason {
    /// Its job was cancelled or has ended. Also the reason for an attempt of an
    /// earlier leader that is not wanted, and where a worker still runs an
    /// attempt that was told to stop.
    #[display("job-over")]
    JobEnded,
    /// Another attempt of the task has completed or continues.
    #[display("duplicate")]
    Duplicate,
    /// The start command or the last stop command was not answered.
    #[display("unanswered")]
    Unanswered,
    /// It makes no progress.
    #[display("stalled")]
    Stalled,
    /// Another worker would complete the task much earlier.
    #[display("slow")]
    Slow,
    /// Its gang cannot become complete.
    #[display("gang-incomplete")]
    GangIncomplete,
    /// Its machine is needed for maintenance or for another pool.
    #[display("machine-needed")]
    MachineNeeded,
    /// Its zone is drained.
    #[display("zone-drained")]
    ZoneDrained,
    /// Its worker is about to leave.
    #[display("worker-leaves")]
    WorkerLeaves,
    /// A continuous task needs the capacity.
    #[display("preempted")]
    Preempted,
}

/// A command to a machine.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum MachineCommand {
    /// Moves it to another pool.
    #[display("move machine={machine} pool={pool}")]
    Move {
        /// The machine.
        machine: SmolStr,
        /// The pool that it joins.
        pool: PoolId,
    },
    /// Takes it out of service for maintenance.
    #[display("maintain machine={machine} wave={wave}")]
    Maintain {
        /// The machine.
        machine: SmolStr,
        /// The wave that requests the maintenance.
        wave: u64,
    },
}

impl MachineCommand {
    /// Returns the machine that the command is for.
    pub fn machine(&self) -> &SmolStr {
        match self {
            MachineCommand::Move { machine, .. } | MachineCommand::Maintain { machine, .. } => {
                machine
            }
        }
    }
}
