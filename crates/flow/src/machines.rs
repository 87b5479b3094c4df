//! Machines: their list, the orders to them, and what became of those.

use std::collections::{BTreeMap, HashMap};

use derive_more::Display;
use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::maintain::ActiveWave;
use crate::scheduler::Removal;
use crate::worker::WorkerKey;
use crate::{Action, MachineCommand, Scheduler};

/// Added to the time that a machine is counted as down.
pub(crate) const DOWN_MARGIN: Duration = Duration::from_millis(250);
/// Pause before an order is sent again that was not carried out.
const COMMAND_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Time after which an order without an answer is sent again.
pub(crate) const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after an order was carried out at which the worker's silence shows.
const LEAVING_TIME: Duration = Duration::from_millis(1500);

/// State of a machine in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum MachineState {
    /// Ready, or switched off in a spare pool.
    #[display("up")]
    Up,
    /// On its way to another pool.
    #[display("moving")]
    Moving,
    /// In maintenance.
    #[display("maintenance")]
    Maintenance,
    /// Out of order.
    #[display("down")]
    Down,
}

/// A machine in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its id, which outlives its workers.
    pub id: SmolStr,
    /// Its pool.
    pub pool: PoolId,
    /// Its state.
    pub state: MachineState,
    /// What it has.
    pub capacity: Resources,
}

/// What became of an order to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum MachineAnswer {
    /// Carried out, now or before.
    #[display("done")]
    Done,
    /// The machine is not up, or leaves.
    #[display("busy")]
    Busy,
    /// There is no such machine, or it does not belong there.
    #[display("unknown")]
    Unknown,
    /// Nothing was done; too many calls, or the platform can't now.
    #[display("limited")]
    Limited,
    /// Another holder has a higher fence.
    #[display("fence")]
    StaleToken,
    /// No answer came: it may have been carried out.
    #[display("unanswered")]
    Unanswered,
}

/// Machines, waves and orders.
#[derive(Debug)]
pub(crate) struct Machines {
    /// No orders before then: an earlier holder's may still be on their way.
    pub(crate) hold_until: Instant,
    pub(crate) list: HashMap<SmolStr, Machine>,
    pub(crate) waves: BTreeMap<u64, ActiveWave>,
    /// Orders without an answer yet, with when they were sent.
    pub(crate) commands: HashMap<SmolStr, (MachineCommand, Instant)>,
    /// Machines that get no order before then.
    pub(crate) paused_until: HashMap<SmolStr, Instant>,
    pub(crate) waves_changed: bool,
    pub(crate) resize: crate::resize::PoolSizing,
}

impl Machines {
    pub(crate) fn new(hold_until: Instant) -> Machines {
        Machines {
            hold_until,
            list: HashMap::new(),
            waves: BTreeMap::new(),
            commands: HashMap::new(),
            paused_until: HashMap::new(),
            waves_changed: false,
            resize: crate::resize::PoolSizing::default(),
        }
    }

    pub(crate) fn may_command(&self, machine: &SmolStr, now: Instant) -> bool {
        now >= self.hold_until
            && !self.commands.contains_key(machine)
            && self.paused_until.get(machine).is_none_or(|&until| until <= now)
    }
}

impl Scheduler {
    /// Gives no order to a machine before `until`: an earlier leader has.
    pub fn pause_machine(&mut self, machine: SmolStr, until: Instant) {
        self.machines.paused_until.insert(machine, until);
    }

    /// Gives orders at once to machines that are not held: it is known which
    /// ones an earlier leader has ordered lately.
    pub fn end_machine_hold(&mut self, now: Instant) {
        self.machines.hold_until = now;
    }

    /// Takes the platform's list of machines.
    pub fn set_machine_list(&mut self, list: Vec<Machine>) {
        self.machines.list = list.into_iter().map(|each| (each.id.clone(), each)).collect();
    }

    pub(crate) fn worker_on(&self, machine: &SmolStr) -> Option<WorkerKey> {
        let on = |(_, worker): &(WorkerKey, &crate::worker::Worker)| {
            worker.machine.as_ref() == Some(machine) && worker.registered && !worker.leaving
        };
        self.workers.iter().find(on).map(|(key, _)| key)
    }

    pub(crate) fn command_machine(&mut self, command: MachineCommand, now: Instant) {
        self.machines.commands.insert(command.machine().clone(), (command.clone(), now));
        // It gets nothing more: a next leader need not wait for its lease.
        if let Some(key) = self.worker_on(command.machine()) {
            self.workers[key].sealed = true;
            self.records_changed = true;
        }
        self.actions.push(Action::Machine(command));
    }

    /// Notes what became of an order to a machine.
    pub fn machine_answered(
        &mut self,
        command: &MachineCommand,
        answer: MachineAnswer,
        now: Instant,
    ) {
        let sent = self.machines.commands.remove(command.machine());
        let machine = command.machine().clone();
        match answer {
            MachineAnswer::Done => {
                if sent.is_some() && self.ended_known_worker(command) {
                    self.machine_left(&machine, now);
                }
                match command {
                    MachineCommand::Maintain { wave, .. } => self.maintained(*wave, &machine, now),
                    MachineCommand::Move { pool, .. } => self.move_accepted(&machine, pool, now),
                }
            }
            MachineAnswer::Unknown => {
                match command {
                    MachineCommand::Maintain { wave, .. } => self.maintained(*wave, &machine, now),
                    MachineCommand::Move { pool, .. } => self.move_failed(&machine, pool, true),
                }
                self.uncordon(&machine);
            }
            MachineAnswer::Busy | MachineAnswer::Limited | MachineAnswer::StaleToken => {
                if let MachineCommand::Move { pool, .. } = command {
                    self.move_failed(&machine, pool, false);
                    self.uncordon(&machine);
                }
                self.machines.paused_until.insert(machine, now + COMMAND_RETRY_DELAY);
            }
            MachineAnswer::Unanswered => {
                // It may be down from now on: counted so until it is settled.
                let until = now + self.rules.maintain_time + DOWN_MARGIN;
                if let MachineCommand::Maintain { wave, .. } = command
                    && let Some(active) = self.machines.waves.get_mut(wave)
                {
                    active.down.insert(machine.clone(), until);
                }
                self.machines.paused_until.insert(machine, until.max(now + COMMAND_TIMEOUT));
            }
        }
    }

    /// Whether an order that was carried out was not carried out before: it
    /// then has ended the worker that is known here.
    fn ended_known_worker(&self, command: &MachineCommand) -> bool {
        let MachineCommand::Maintain { machine, wave } = command else { return true };
        let start_ms = self.worker_on(machine).map(|key| self.workers[key].incarnation.start_ms);
        let start_ms =
            SystemTime::UNIX_EPOCH + Duration::from_millis(start_ms.unwrap_or(u64::MAX / 2));
        self.machines.waves.get(wave).is_some_and(|active| start_ms < active.earliest_start)
    }

    fn uncordon(&mut self, machine: &SmolStr) {
        if let Some(key) = self.worker_on(machine) {
            self.workers[key].cordoned = false;
        }
    }

    /// An order took a machine: all that ran on it has ended.
    pub(crate) fn machine_left(&mut self, machine: &SmolStr, now: Instant) {
        let Some(key) = self.worker_on(machine) else { return };
        self.workers[key].leaving = true;
        self.records_changed = true;
        self.workers[key].cordoned = false;
        self.workers[key].backoff_until = Some(now + LEAVING_TIME);
        for attempt in self.workers[key].attempts.clone() {
            if self.attempts[attempt].confirmed.is_some() {
                self.remove_attempt(attempt, Removal::Over, now);
            }
        }
    }
}
