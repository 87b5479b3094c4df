//! Sends the leader's commands to workers and machines, and its questions to
//! the adviser.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_call::Permit;
use vg_events::{Code, Field};
use vg_flow::{
    Action, AttemptNumber, CommandTarget, FencingToken, MachineAnswer, MachineCommand,
    RefusalReason, StartAnswer, StartCommand, StepId, TaskId, WorkerIncarnation,
};
use vg_store::{Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use super::grounds::{ground_fields, target_fields};
use crate::codec::encode;
use crate::host::lock;
use crate::keys::{COMMANDS_KEY, CommandRecord, RecordedCommand, TERM_KEY};
use crate::{CommandAnswer, Platform};

impl<P: Platform, C: Clock> Leader<P, C> {
    /// Starts to carry out an action that the scheduler decided. Commands to
    /// machines are collected until the end of the round.
    pub(super) fn execute(self: &Arc<Self>, action: Action) {
        let leader = Arc::clone(self);
        match action {
            Action::Start(start) => self.spawn(leader.start(start)),
            Action::Stop { incarnation, token, task, attempt, reason } => {
                let fields = [
                    Field::new("task", task),
                    Field::new("run", attempt),
                    Field::new("worker", &incarnation.id),
                    Field::new("born", incarnation.start_ms),
                    Field::new("reason", reason),
                ];
                self.host.record(Code::TaskStopped, fields);
                self.spawn(leader.stop(incarnation, token, task, attempt));
            }
            Action::Throttle { incarnation, token, task, attempt, percent } => {
                self.spawn(leader.throttle(incarnation, token, task, attempt, percent));
            }
            Action::AskAdviser { step, workers, permit } => {
                self.spawn(leader.ask_adviser(step, workers, permit));
            }
            Action::Machine(command) => {
                let target = self.scheduler().command_target(&command, self.host.inner.clock.now());
                lock(&self.machine_commands).push((command, target));
            }
        }
    }

    /// Commands a worker to start a task and passes the answer to the scheduler.
    /// Ends the leadership if the worker has seen a higher fencing token.
    async fn start(self: Arc<Self>, start: StartCommand) {
        let mut ground = ground_fields(&start.ground, self.host.inner.clock.now());
        // The process may have been suspended since the decision.
        let reply = match self.may_start() {
            true => self.host.inner.platform.start(&start).await,
            false => StartAnswer::NotSent.into(),
        };
        let answer = reply.answer;
        let now = self.host.inner.clock.now();
        let mut fields = vec![
            Field::new("task", start.task),
            Field::new("run", start.attempt),
            Field::new("worker", &start.incarnation.id),
            Field::new("born", start.incarnation.start_ms),
            Field::new("answer", answer),
        ];
        fields.append(&mut ground);
        self.host.record(Code::TaskStarted, fields);
        self.host.inner.metrics.count_command(match answer {
            StartAnswer::Started => "started",
            StartAnswer::Refused(_) => "refused",
            StartAnswer::NotSent => "not-sent",
            StartAnswer::Unanswered => "unanswered",
        });
        if answer == StartAnswer::Refused(RefusalReason::StaleToken)
            && self.is_stale(&start.incarnation.id, start.token)
        {
            return;
        }
        self.scheduler().start_answered(start.task, start.attempt, reply, now);
        if answer != StartAnswer::Started {
            self.wake.notify_one();
        }
    }

    /// Whether another host leads, as a worker has refused a call with a token. Ends the
    /// leadership then. Calls to an earlier life of the worker are refused as well.
    pub(super) fn is_stale(&self, worker: &HostId, token: FencingToken) -> bool {
        let is_stale = !self.scheduler().is_superseded(worker, token);
        if is_stale {
            self.end_leadership("a worker has seen a higher fence");
        }
        is_stale
    }

    /// Commands a worker to stop an attempt.
    async fn stop(
        self: Arc<Self>,
        incarnation: WorkerIncarnation,
        token: FencingToken,
        task: TaskId,
        attempt: AttemptNumber,
    ) {
        let answer = self.host.inner.platform.stop(&incarnation, task, attempt, token).await;
        match answer {
            CommandAnswer::Accepted => {
                let now = self.host.inner.clock.now();
                self.scheduler().stop_answered(&incarnation, task, attempt, now);
            }
            CommandAnswer::StaleToken => _ = self.is_stale(&incarnation.id, token),
            CommandAnswer::Refused | CommandAnswer::Unanswered => {
                log::debug!(target: "orders", "stop of {task} at {incarnation}: {answer}");
            }
        }
    }

    /// Commands a worker to limit the speed of an attempt.
    async fn throttle(
        self: Arc<Self>,
        incarnation: WorkerIncarnation,
        token: FencingToken,
        task: TaskId,
        attempt: AttemptNumber,
        percent: u8,
    ) {
        let answer =
            self.host.inner.platform.throttle(&incarnation, task, attempt, percent, token).await;
        let fields = [
            Field::new("task", task),
            Field::new("run", attempt),
            Field::new("worker", &incarnation.id),
            Field::new("percent", percent),
            Field::new("answer", answer),
        ];
        self.host.record(Code::TaskThrottled, fields);
        match answer {
            CommandAnswer::Accepted => {}
            CommandAnswer::StaleToken => {
                if !self.is_stale(&incarnation.id, token) {
                    self.scheduler().throttle_failed(task, attempt);
                }
            }
            CommandAnswer::Refused | CommandAnswer::Unanswered => {
                self.scheduler().throttle_failed(task, attempt)
            }
        }
    }

    /// Asks the adviser which workers may run a step.
    async fn ask_adviser(self: Arc<Self>, step: StepId, workers: Vec<HostId>, permit: Permit) {
        let sent = self.host.inner.clock.now();
        let (call, limit) = (permit.key(), permit.timeout());
        let answer = self.host.inner.platform.advise(permit, step, &workers).await;
        let now = self.host.inner.clock.now();
        let permitted = answer.as_ref().map_or(-1, |answer| answer.permitted.len() as i64);
        let fields = [
            Field::new("step", step),
            Field::new("asked", workers.len()),
            Field::new("good", permitted),
            Field::new("ms", now.saturating_duration_since(sent).as_millis()),
            Field::new("limit-ms", limit.as_millis()),
        ];
        self.host.record(Code::AdviserAsked, fields);
        let answer = answer.as_ref().map_err(|&failure| failure);
        self.scheduler().adviser_answered(step, call, &workers, answer, now);
        self.wake.notify_one();
    }

    /// Records the commands to machines that accumulated, and sends them once the
    /// record is durable. The record tells the next leader which machines must not
    /// receive another command for a while.
    pub(super) fn send_machine_commands(self: &Arc<Self>) {
        if !lock(&self.machine_commands).is_empty() {
            self.spawn(Arc::clone(self).record_and_send_commands());
        }
    }

    /// Writes one record for all commands that were decided while an earlier record was
    /// being written: with a slow store, a record for each round would let only a few
    /// machines move per second.
    async fn record_and_send_commands(self: Arc<Self>) {
        let _guard = self.record_lock.lock().await;
        let commands = std::mem::take(&mut *lock(&self.machine_commands));
        if commands.is_empty() {
            return;
        }
        let allowed = self.record_commands(&commands).await;
        for (command, target) in commands {
            self.spawn(Arc::clone(&self).send_machine_command(command, target, allowed));
        }
    }

    /// Makes the record of commands durable. Returns whether the commands may be sent: the
    /// record is durable and the lease is valid.
    async fn record_commands(&self, commands: &[(MachineCommand, CommandTarget)]) -> bool {
        let revision = lock(&self.revisions).commands.0;
        let now = self.host.inner.clock.now();
        let recorded = self.recorded_commands(commands, now);
        let records: Vec<CommandRecord> = recorded.iter().map(|each| each.to_record(now)).collect();
        let Some(value) = encode(&records) else { return false };
        let txn = Txn::new()
            .expect(TERM_KEY, Some(StoreRevision(self.token.0 as i64)))
            .expect(COMMANDS_KEY, revision)
            .put(COMMANDS_KEY, value);
        match self.host.store().commit(txn).await {
            Ok(TxnOutcome::Committed { revision }) => {
                lock(&self.revisions).commands = (Some(revision), recorded);
                self.holds_lease()
            }
            Ok(TxnOutcome::Conflict { found }) => {
                if self.still_leads(&found).await {
                    self.reload_revision().await;
                }
                false
            }
            Err(error) => {
                let fields = [Field::new("call", "orders"), Field::new("cause", error)];
                self.host.record(Code::StoreFailed, fields);
                // The write may have taken effect, so the known revision may be
                // stale.
                self.reload_revision().await;
                false
            }
        }
    }

    /// Returns these commands and the earlier ones that matter to the next leader: those
    /// within the machine hold, and those for which a machine may be down.
    fn recorded_commands(
        &self,
        commands: &[(MachineCommand, CommandTarget)],
        now: Instant,
    ) -> Vec<RecordedCommand> {
        let hold = self.host.inner.options.rules.machine_hold;
        let mut recorded = lock(&self.revisions).commands.1.clone();
        recorded.retain(|each| commands.iter().all(|(new, _)| *new.machine() != each.machine));
        let scheduler = self.scheduler();
        for each in &mut recorded {
            each.wave = each.wave.filter(|_| scheduler.may_be_maintained(&each.machine, now));
        }
        recorded.retain(|each| each.wave.is_some() || each.age(now) < hold);
        let at = self.host.inner.clock.wall();
        let new = commands.iter().map(|(command, _)| RecordedCommand::new(command, at, now));
        recorded.extend(new);
        recorded
    }

    /// Reads the revision of the command record, which the next write expects.
    async fn reload_revision(&self) {
        if let Ok(entry) = self.host.store().get(&COMMANDS_KEY.into()).await {
            lock(&self.revisions).commands.0 = entry.map(|entry| entry.modified);
        }
    }

    /// Sends one command to a machine. If the command may not be sent, the
    /// scheduler is told that the platform takes no commands now
    /// ([`MachineAnswer::Limited`]), so that the scheduler decides again.
    async fn send_machine_command(
        self: Arc<Self>,
        command: MachineCommand,
        target: CommandTarget,
        allowed: bool,
    ) {
        let host = &self.host;
        let sent = host.inner.clock.now();
        // The process may have been suspended since the record was written.
        let answer = if allowed && self.holds_lease() {
            host.inner
                .platform
                .command_machine(&command, &host.inner.options.node, self.token)
                .await
        } else {
            MachineAnswer::Limited
        };
        let now = host.inner.clock.now();
        let order = [Field::new("order", &command), Field::new("answer", answer)];
        let fields = order.into_iter().chain(target_fields(&target, sent, now));
        host.record(Code::MachineCommandSent, fields);
        self.scheduler().machine_answered(&command, answer, now);
        self.wake.notify_one();
    }
}
