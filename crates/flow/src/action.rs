//! What the leader has to do.

use std::sync::Arc;

use derive_more::Display;
use vg_base::prelude::*;

use crate::{AttemptNumber, StepId, TaskId, WorkerIncarnation};

/// Something to do. Messages may be lost; what became of them is told back.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a task. It is sent at most once.
    Start(StartCommand),
    /// Stop a run. The answer is told by `Scheduler::stop_answered`.
    Stop {
        /// The life that the run is on.
        incarnation: WorkerIncarnation,
        /// The task.
        task: TaskId,
        /// The start.
        attempt: AttemptNumber,
        /// Why.
        reason: StopReason,
    },
    /// Let a run work at a share of its speed.
    Throttle {
        /// The life that the run is on.
        incarnation: WorkerIncarnation,
        /// The task.
        task: TaskId,
        /// The start.
        attempt: AttemptNumber,
        /// Share in percent.
        percent: u8,
    },
    /// Ask the adviser which workers may run a step.
    AskAdviser {
        /// The step.
        step: StepId,
        /// Workers to ask about, likeliest first.
        workers: Vec<HostId>,
    },
    /// Give an order to a machine.
    Machine(MachineCommand),
}

/// A start of a task.
#[derive(Debug, Clone, PartialEq)]
pub struct StartCommand {
    /// The life that shall run it; another one must refuse.
    pub incarnation: WorkerIncarnation,
    /// The task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: AttemptNumber,
    /// The job's text.
    pub payload: Arc<str>,
    /// Time on the worker's clock, in ms, after which it refuses the start.
    pub deadline_ms: u64,
    /// Checkpoint to go on from; empty: from the beginning.
    pub checkpoint: SmolStr,
    /// Permission of the adviser; empty where none is needed.
    pub ticket: SmolStr,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopReason {
    /// Its job was cancelled or has ended.
    #[display("job-over")]
    JobEnded,
    /// Another run of the task is done or goes on.
    #[display("duplicate")]
    Duplicate,
    /// The start was not answered.
    #[display("unanswered")]
    Unanswered,
    /// It makes no progress.
    #[display("stalled")]
    Stalled,
    /// Another worker would end the task well before.
    #[display("slow")]
    Slow,
    /// Its gang can't be complete.
    #[display("gang-incomplete")]
    GangIncomplete,
    /// Its machine is to be maintained or moved.
    #[display("machine-needed")]
    MachineNeeded,
    /// Its worker is about to leave.
    #[display("worker-leaves")]
    WorkerLeaves,
    /// A task that has to run needs the room.
    #[display("preempted")]
    Preempted,
}

/// An order to a machine.
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
    /// Takes it down for maintenance.
    #[display("maintain machine={machine} wave={wave}")]
    Maintain {
        /// The machine.
        machine: SmolStr,
        /// The wave that asks for it.
        wave: u64,
    },
}

impl MachineCommand {
    /// Returns the machine that it is for.
    pub fn machine(&self) -> &SmolStr {
        match self {
            MachineCommand::Move { machine, .. } | MachineCommand::Maintain { machine, .. } => {
                machine
            }
        }
    }
}
