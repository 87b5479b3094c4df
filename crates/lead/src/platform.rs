//! The surroundings as the host sees them; an adapter implements this.

use std::future::Future;

use derive_more::Display;
use vg_base::prelude::*;
use vg_flow::{
    AttemptNumber, FencingToken, Machine, MachineAnswer, MachineCommand, OperatorConfig, Renewal,
    Report, StartAnswer, StartCommand, StepId, TaskId, Wave, WaveState, WorkerIncarnation,
    WorkerRegistration,
};
use vg_store::{Key, Store, Value};

/// Where the surroundings keep their items in the store.
#[derive(Debug, Clone)]
pub struct KeyLayout {
    /// Prefix of what operators write.
    pub operator_prefix: Key,
    /// Prefix under which workers register.
    pub worker_prefix: Key,
}

/// An item that operators write.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorItem {
    /// The whole configuration.
    Content(Box<OperatorConfig>),
    /// A wave of maintenance.
    Wave(Wave),
    /// Something that concerns others.
    Other,
}

/// An item that can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{reason}")]
pub struct ParseError {
    /// What is wrong with it.
    pub reason: SmolStr,
}

/// What became of an order to stop or pace a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CommandAnswer {
    /// The worker has taken it.
    #[display("taken")]
    Accepted,
    /// The worker has seen a higher fence.
    #[display("fence")]
    Fenced,
    /// The worker proved that it did nothing.
    #[display("refused")]
    Refused,
    /// No answer came.
    #[display("unanswered")]
    Unanswered,
}

/// Why a look at a worker shows nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PollError {
    /// The worker has seen a higher fence.
    #[display("fence")]
    Fenced,
    /// Another life answers at the address.
    #[display("other life")]
    OtherIncarnation,
    /// No answer came, or none that can be read.
    #[display("unanswered")]
    Unanswered,
}

/// The adviser's answer for a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviserAnswer {
    /// Workers that may run the step, with their permissions.
    pub permitted: Vec<(HostId, SmolStr)>,
    /// How long the permissions hold.
    pub valid_for: Duration,
}

/// The surroundings: store, operators, workers, machines and adviser.
///
/// Implementations only translate: they hold no decision, queue or retry.
pub trait Platform: Clone + Send + Sync + 'static {
    /// The store.
    type Store: Store;

    /// Returns the store.
    fn store(&self) -> &Self::Store;

    /// Returns where the surroundings keep their items.
    fn layout(&self) -> &KeyLayout;

    /// Reads an item that operators wrote.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] if it is malformed.
    fn parse_operator_item(&self, key: &Key, value: &[u8]) -> Result<OperatorItem, ParseError>;

    /// Reads a worker's registration.
    ///
    /// # Errors
    ///
    /// [`Unreadable`] if it is malformed; it then names no worker.
    fn parse_worker(&self, key: &Key, value: &[u8]) -> Result<WorkerRegistration, ParseError>;

    /// Returns the item that tells operators how far a wave is.
    fn wave_status_item(&self, number: u64, state: WaveState) -> (Key, Value);

    /// Orders a worker to start a task. Never sent twice.
    fn start(
        &self,
        start: &StartCommand,
        fence: FencingToken,
    ) -> impl Future<Output = StartAnswer> + Send;

    /// Orders a worker to stop a run.
    fn stop(
        &self,
        life: &WorkerIncarnation,
        task: TaskId,
        run: AttemptNumber,
        fence: FencingToken,
    ) -> impl Future<Output = CommandAnswer> + Send;

    /// Lets a run work at a share of its speed.
    fn pace(
        &self,
        life: &WorkerIncarnation,
        task: TaskId,
        run: AttemptNumber,
        percent: u8,
        fence: FencingToken,
    ) -> impl Future<Output = CommandAnswer> + Send;

    /// Renews a worker's lease and looks at its runs; waits up to `wait` for an
    /// end.
    ///
    /// # Errors
    ///
    /// [`LookError`] tells why nothing is known.
    fn poll(
        &self,
        renewal: &Renewal,
        wait: Duration,
    ) -> impl Future<Output = Result<Report, PollError>> + Send;

    /// Lists the machines; `None` without an answer.
    fn machines(&self) -> impl Future<Output = Option<Vec<Machine>>> + Send;

    /// Gives an order to a machine.
    fn command_machine(
        &self,
        command: &MachineCommand,
        holder: &NodeId,
        fence: FencingToken,
    ) -> impl Future<Output = MachineAnswer> + Send;

    /// Asks the adviser; `None` without an answer.
    fn advise(
        &self,
        step: StepId,
        workers: &[HostId],
        limit: Duration,
    ) -> impl Future<Output = Option<AdviserAnswer>> + Send;
}
