//! The interface to the platform that a host runs on; an adapter implements it.

use std::future::Future;

use derive_more::Display;
use vg_base::prelude::*;
use vg_call::{Failure, Permit};
use vg_flow::{
    AdviserAnswer, AttemptNumber, FencingToken, Machine, MachineAnswer, MachineCommand,
    OperatorConfig, PollFailure, Renewal, Report, StartCommand, StartReply, StepId, TaskId, Wave,
    WaveState, WorkerIncarnation, WorkerRegistration,
};
use vg_store::{Key, Store, Value};

/// The key prefixes under which the platform keeps its items in the store.
#[derive(Debug, Clone)]
pub struct KeyLayout {
    /// Prefix of the items that operators write.
    pub operator_prefix: Key,
    /// Prefix of the requests to drain zones, which are such items.
    pub drain_prefix: Key,
    /// Prefix of the workers' registrations.
    pub worker_prefix: Key,
}

/// An item that operators write.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorItem {
    /// The complete configuration.
    Config(Box<OperatorConfig>),
    /// A maintenance wave.
    Wave(Wave),
    /// A request to drain an availability zone, in force until the key is deleted.
    ZoneDrain(ZoneId),
    /// An item that does not concern this product.
    Other,
}

/// A malformed item of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{reason}")]
pub struct ParseError {
    /// Describes what is malformed.
    pub reason: SmolStr,
}

/// The answer of a worker to a command to stop or throttle an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CommandAnswer {
    /// The worker carries out the command.
    #[display("taken")]
    Accepted,
    /// The worker has seen a higher fencing token.
    #[display("fence")]
    StaleToken,
    /// The worker refused the command and did nothing.
    #[display("refused")]
    Refused,
    /// No answer came; the command may have taken effect.
    #[display("unanswered")]
    Unanswered,
}

/// Why a poll of a worker brought no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum PollError {
    /// The worker has seen a higher fencing token.
    #[display("fence")]
    StaleToken,
    /// Another incarnation of a worker answers at the address.
    #[display("other life")]
    OtherIncarnation,
    /// The connection was refused: nothing listens at the address, or the network
    /// refuses on its behalf.
    #[display("refused")]
    Refused,
    /// The connection ended before the answer.
    #[display("broken")]
    Broken,
    /// No answer came in time, or it was malformed.
    #[display("unanswered")]
    Unanswered,
}

impl From<PollError> for PollFailure {
    fn from(error: PollError) -> PollFailure {
        match error {
            PollError::Refused | PollError::Broken => PollFailure::Broken,
            PollError::StaleToken | PollError::OtherIncarnation | PollError::Unanswered => {
                PollFailure::Silent
            }
        }
    }
}

/// The platform: store, operators, workers, machines and adviser.
///
/// Implementations only translate: they make no decisions, keep no queues and
/// do not retry.
pub trait Platform: Clone + Send + Sync + 'static {
    /// The type of the store.
    type Store: Store + std::fmt::Debug;

    /// Returns the store.
    fn store(&self) -> &Self::Store;

    /// Returns the key prefixes of the platform's items.
    fn layout(&self) -> &KeyLayout;

    /// Parses an item that operators wrote.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if it is malformed.
    fn parse_operator_item(&self, key: &Key, value: &[u8]) -> Result<OperatorItem, ParseError>;

    /// Returns the zone whose drain ends with the deletion of `key`; `None` if the key is
    /// no request to drain a zone.
    fn removed_drain(&self, key: &Key) -> Option<ZoneId>;

    /// Parses a worker's registration.
    ///
    /// # Errors
    ///
    /// [`ParseError`] if it is malformed; it then registers no worker.
    fn parse_worker(&self, key: &Key, value: &[u8]) -> Result<WorkerRegistration, ParseError>;

    /// Returns the item that tells operators the state of a maintenance wave.
    fn wave_status_item(&self, number: u64, state: WaveState) -> (Key, Value);

    /// Commands a worker to start a task. The command is never sent twice.
    fn start(&self, start: &StartCommand) -> impl Future<Output = StartReply> + Send;

    /// Commands a worker to stop an attempt.
    fn stop(
        &self,
        incarnation: &WorkerIncarnation,
        task: TaskId,
        attempt: AttemptNumber,
        token: FencingToken,
    ) -> impl Future<Output = CommandAnswer> + Send;

    /// Limits an attempt to a percentage of its speed.
    fn throttle(
        &self,
        incarnation: &WorkerIncarnation,
        task: TaskId,
        attempt: AttemptNumber,
        percent: u8,
        token: FencingToken,
    ) -> impl Future<Output = CommandAnswer> + Send;

    /// Renews a worker's lease and reads its attempts. The worker may hold back
    /// its answer for up to `wait` until an attempt ends.
    ///
    /// # Errors
    ///
    /// [`PollError`] says why there is no report.
    fn poll(
        &self,
        renewal: &Renewal,
        wait: Duration,
    ) -> impl Future<Output = Result<Report, PollError>> + Send;

    /// Lists the machines; `None` if there is no complete answer.
    fn machines(&self) -> impl Future<Output = Option<Vec<Machine>>> + Send;

    /// Sends a command to a machine. `holder` is the host that holds the
    /// leadership.
    fn command_machine(
        &self,
        command: &MachineCommand,
        holder: &NodeId,
        token: FencingToken,
    ) -> impl Future<Output = MachineAnswer> + Send;

    /// Asks the adviser which of `workers` may run a step, within the time that `permit`
    /// allows.
    ///
    /// # Errors
    ///
    /// [`Failure`] says whether the adviser may still be at work on the query.
    fn advise(
        &self,
        permit: Permit,
        step: StepId,
        workers: &[HostId],
    ) -> impl Future<Output = Result<AdviserAnswer, Failure>> + Send;
}
