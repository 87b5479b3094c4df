//! Orders to workers, machines and the adviser.

use std::sync::Arc;

use vg_base::prelude::*;
use vg_events::{Code, Field};
use vg_flow::{
    Action, AttemptNumber, MachineAnswer, MachineCommand, RefusalReason, StartAnswer, StartCommand,
    StepId, TaskId, WorkerIncarnation,
};

use vg_store::{Store, StoreRevision, Txn, TxnOutcome};

use super::Leader;
use crate::codec::encode;
use crate::host::lock;
use crate::keys::{ORDERS, Ordered, TERM};
use crate::{CommandAnswer, Platform};

/// Time for the adviser to answer, beside its own time for each worker.
const ADVICE_LIMIT: Duration = Duration::from_millis(1500);

impl<P: Platform, C: Clock> Leader<P, C> {
    pub(super) fn carry_out(self: &Arc<Self>, action: Action) {
        let leader = Arc::clone(self);
        match action {
            Action::Start(start) => self.spawn(leader.start(start)),
            Action::Stop { incarnation, task, attempt, reason } => {
                let fields = [
                    Field::new("task", task),
                    Field::new("run", attempt),
                    Field::new("worker", &incarnation.id),
                    Field::new("reason", reason),
                ];
                self.host.record(Code::TaskStopped, fields);
                self.spawn(leader.stop(incarnation, task, attempt));
            }
            Action::Throttle { incarnation, task, attempt, percent } => {
                self.spawn(leader.pace(incarnation, task, attempt, percent));
            }
            Action::AskAdviser { step, workers } => self.spawn(leader.ask_adviser(step, workers)),
            Action::Machine(order) => lock(&self.machine_orders).push(order),
        }
    }

    async fn start(self: Arc<Self>, start: StartCommand) {
        let answer = self.host.inner.platform.start(&start, self.fence).await;
        let now = self.host.inner.clock.now();
        let fields = [
            Field::new("task", start.task),
            Field::new("run", start.attempt),
            Field::new("worker", &start.incarnation.id),
            Field::new("answer", answer),
        ];
        self.host.record(Code::TaskStarted, fields);
        self.host.inner.metrics.ordered(match answer {
            StartAnswer::Started => "started",
            StartAnswer::Refused(_) => "refused",
            StartAnswer::NotSent => "not-sent",
            StartAnswer::Unanswered => "unanswered",
        });
        if answer == StartAnswer::Refused(RefusalReason::StaleToken) {
            self.lose("a worker has seen a higher fence");
            return;
        }
        self.flow().start_answered(start.task, start.attempt, answer, now);
        if answer != StartAnswer::Started {
            self.wake.notify_one();
        }
    }

    async fn stop(
        self: Arc<Self>,
        incarnation: WorkerIncarnation,
        task: TaskId,
        attempt: AttemptNumber,
    ) {
        let answer = self.host.inner.platform.stop(&incarnation, task, attempt, self.fence).await;
        match answer {
            CommandAnswer::Accepted => {
                let now = self.host.inner.clock.now();
                self.flow().stop_answered(task, attempt, now);
            }
            CommandAnswer::Fenced => self.lose("a worker has seen a higher fence"),
            CommandAnswer::Refused | CommandAnswer::Unanswered => {
                log::debug!(target: "orders", "stop of {task} at {incarnation}: {answer}");
            }
        }
    }

    async fn pace(
        self: Arc<Self>,
        incarnation: WorkerIncarnation,
        task: TaskId,
        attempt: AttemptNumber,
        percent: u8,
    ) {
        let answer =
            self.host.inner.platform.pace(&incarnation, task, attempt, percent, self.fence).await;
        let fields = [
            Field::new("task", task),
            Field::new("run", attempt),
            Field::new("worker", &incarnation.id),
            Field::new("percent", percent),
            Field::new("answer", answer),
        ];
        self.host.record(Code::TaskPaced, fields);
        match answer {
            CommandAnswer::Accepted => {}
            CommandAnswer::Fenced => self.lose("a worker has seen a higher fence"),
            CommandAnswer::Refused | CommandAnswer::Unanswered => {
                self.flow().throttle_failed(task, attempt)
            }
        }
    }

    async fn ask_adviser(self: Arc<Self>, step: StepId, workers: Vec<HostId>) {
        let advised = self.host.inner.platform.advise(step, &workers, ADVICE_LIMIT).await;
        let now = self.host.inner.clock.now();
        let good = advised.as_ref().map(|advised| advised.permitted.as_slice());
        let valid = advised.as_ref().map(|advised| advised.valid_for).unwrap_or_default();
        let fields = [
            Field::new("step", step),
            Field::new("asked", workers.len()),
            Field::new("good", good.map_or(-1, |good| good.len() as i64)),
        ];
        self.host.record(Code::StepAdvised, fields);
        self.flow().adviser_answered(step, &workers, good, valid, now);
        self.wake.notify_one();
    }

    /// Sends the orders to machines that have gathered, after the record of
    /// them is durable: a next leader then knows which machines to leave alone
    /// for a while.
    pub(super) fn send_machine_orders(self: &Arc<Self>) {
        let orders = std::mem::take(&mut *lock(&self.machine_orders));
        if !orders.is_empty() {
            let leader = Arc::clone(self);
            self.spawn(async move {
                let allowed = leader.record_orders(&orders).await;
                for order in orders {
                    leader.spawn(Arc::clone(&leader).order_machine(order, allowed));
                }
            });
        }
    }

    /// Records orders; returns whether they may be sent.
    async fn record_orders(&self, orders: &[MachineCommand]) -> bool {
        let _turn = self.order_turn.lock().await;
        let wall = self.host.inner.clock.wall();
        let hold = self.host.inner.options.rules.machine_hold;
        let (revision, mut recorded) = lock(&self.committed).orders.clone();
        let is_recent = |each: &Ordered| wall.duration_since(each.at).is_ok_and(|age| age < hold);
        recorded.retain(is_recent);
        recorded.extend(
            orders.iter().map(|order| Ordered { machine: order.machine().clone(), at: wall }),
        );
        let Some(value) = encode(&recorded) else { return false };
        let txn = Txn::new()
            .expect(TERM, Some(StoreRevision(self.fence.0 as i64)))
            .expect(ORDERS, revision)
            .put(ORDERS, value);
        match self.host.store().commit(txn).await {
            Ok(TxnOutcome::Committed { revision }) => {
                lock(&self.committed).orders = (Some(revision), recorded);
                self.host.is_verified()
            }
            Ok(TxnOutcome::Conflict { found }) => {
                if self.still_leads(&found).await {
                    self.read_orders().await;
                }
                false
            }
            Err(error) => {
                let fields = [Field::new("call", "orders"), Field::new("cause", error)];
                self.host.record(Code::StoreFailed, fields);
                // It may have taken effect.
                self.read_orders().await;
                false
            }
        }
    }

    /// Reads the revision of the record of orders, for the next one.
    async fn read_orders(&self) {
        if let Ok(entry) = self.host.store().get(&ORDERS.into()).await {
            lock(&self.committed).orders.0 = entry.map(|entry| entry.modified);
        }
    }

    async fn order_machine(self: Arc<Self>, order: MachineCommand, allowed: bool) {
        let host = &self.host;
        let answer = if allowed {
            host.inner.platform.command_machine(&order, &host.inner.options.node, self.fence).await
        } else {
            MachineAnswer::Limited
        };
        let now = host.inner.clock.now();
        host.record(
            Code::MachineOrdered,
            [Field::new("order", &order), Field::new("answer", answer)],
        );
        self.flow().machine_answered(&order, answer, now);
        self.wake.notify_one();
    }
}
