//! Machines: their list, the commands to them, and the results of those.

use std::collections::{BTreeMap, HashMap};

use derive_more::Display;
use vg_base::prelude::*;
use vg_jobs::Resources;

use crate::pools::maintain::ActiveWave;
use crate::workers::proof::WorkerLife;
use crate::workers::worker::WorkerKey;
use crate::{Action, EarlierCommand, MachineCommand, Scheduler};

/// Delay before a command that was not carried out is sent again.
const COMMAND_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Minimum time before a command whose answer was lost is sent again. A command
/// without any result counts as in progress for three times this long.
pub(crate) const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a command was carried out within which polls of the machine's
/// worker fail.
pub(crate) const LEAVING_TIME: Duration = Duration::from_millis(1500);

/// State of a machine in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum MachineState {
    /// Ready, or switched off in a spare pool.
    #[display("up")]
    Up,
    /// Moving to another pool.
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
    /// Its capacity.
    pub capacity: Resources,
    /// Its availability zone, if known.
    pub zone: Option<ZoneId>,
}

/// Result of a command to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum MachineAnswer {
    /// Carried out, now or before.
    #[display("done")]
    Done,
    /// The machine is not up, or is leaving.
    #[display("busy")]
    Busy,
    /// There is no such machine, or it does not belong to the pool or wave.
    #[display("unknown")]
    Unknown,
    /// Nothing was done: too many calls, or the platform cannot do it now.
    #[display("limited")]
    Limited,
    /// Another leader has a higher fencing token.
    #[display("fence")]
    StaleToken,
    /// No answer was received: the command may have been carried out.
    #[display("unanswered")]
    Unanswered,
}

/// What was known of a machine when a command to it was decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandTarget {
    /// When the command was decided.
    pub decided: Instant,
    /// The worker that is registered on it.
    pub life: Option<WorkerLife>,
    /// Number of attempts of that worker.
    pub attempts: usize,
    /// Time since the list of machines was asked for; `None` if there is none.
    pub list_age: Option<Duration>,
}

/// A command that has no answer yet.
#[derive(Debug, Clone)]
pub(crate) struct SentCommand {
    pub(crate) command: MachineCommand,
    /// When it was decided. It is sent once its record is durable.
    pub(crate) at: Instant,
    /// The worker that was on the machine then.
    pub(crate) life: Option<WorkerLife>,
}

/// Machines, waves and commands.
#[derive(Debug)]
pub(crate) struct Machines {
    /// No command is sent before this time: those of an earlier leader may
    /// still be in progress.
    pub(crate) hold_until: Instant,
    pub(crate) list: HashMap<SmolStr, Machine>,
    /// When the list was asked for.
    pub(crate) list_asked: Option<Instant>,
    /// When a machine was last commanded or has arrived: a list that was asked for
    /// before does not show its state.
    pub(crate) changed: HashMap<SmolStr, Instant>,
    pub(crate) waves: BTreeMap<u64, ActiveWave>,
    /// Commands of earlier leaders for waves that are not known yet, and when they were read.
    pub(crate) earlier: Vec<(EarlierCommand, Instant)>,
    /// Commands without an answer yet.
    pub(crate) commands: HashMap<SmolStr, SentCommand>,
    /// Machines whose last command to move was not answered, and since when that is
    /// known.
    unanswered_moves: HashMap<SmolStr, Instant>,
    /// Whether the last command was not answered, or not taken because the platform
    /// could not carry it out.
    is_failing: bool,
    /// Machines that get no command before a time.
    pub(crate) paused_until: HashMap<SmolStr, Instant>,
    pub(crate) waves_changed: bool,
    /// Workers by machine.
    pub(crate) workers: HashMap<SmolStr, Vec<WorkerKey>>,
    pub(crate) resize: crate::pools::resize::PoolSizing,
}

impl Machines {
    pub(crate) fn new(hold_until: Instant) -> Machines {
        Machines {
            hold_until,
            list: HashMap::new(),
            list_asked: None,
            changed: HashMap::new(),
            waves: BTreeMap::new(),
            earlier: Vec::new(),
            commands: HashMap::new(),
            unanswered_moves: HashMap::new(),
            is_failing: false,
            paused_until: HashMap::new(),
            waves_changed: false,
            workers: HashMap::new(),
            resize: crate::pools::resize::PoolSizing::default(),
        }
    }

    /// Notes that the state of a machine changes now.
    pub(crate) fn note_change(&mut self, machine: &SmolStr, now: Instant) {
        self.changed.insert(machine.clone(), now);
    }

    /// Replaces the list by one that was asked for at `asked`, except for machines
    /// that have changed since. Returns `false` if a newer one is known.
    fn replace_list(&mut self, list: Vec<Machine>, asked: Instant) -> bool {
        if self.list_asked.is_some_and(|newer| newer > asked) {
            return false;
        }
        self.list_asked = Some(asked);
        self.changed.retain(|_, at| *at >= asked);
        let mut known = std::mem::take(&mut self.list);
        for machine in list {
            let current = match self.changed.contains_key(&machine.id) {
                true => known.remove(&machine.id).unwrap_or(machine),
                false => machine,
            };
            self.list.insert(current.id.clone(), current);
        }
        true
    }

    /// Drops moves that were not answered, where a list that was asked for since, at
    /// `asked`, shows the machine where it was. Where a worker is known on it, the
    /// worker's next answer shows whether it was moved.
    fn drop_moves_not_made(&mut self, asked: Instant) {
        let (in_transit, workers) = (&mut self.resize.in_transit, &self.workers);
        let is_shown =
            |machine: &SmolStr, at: &mut Instant| *at <= asked && !workers.contains_key(machine);
        for (machine, _) in self.unanswered_moves.extract_if(is_shown) {
            let listed = self.list.get(&machine);
            let is_left = listed.is_some_and(|listed| {
                let target = in_transit.get(&machine).map(|(pool, _)| pool);
                listed.state == MachineState::Up && target != Some(&listed.pool)
            });
            if is_left {
                in_transit.remove(&machine);
            }
        }
    }

    /// Whether the platform takes commands: while they fail, one at a time is sent, so
    /// that machines are not withheld from their pools for nothing.
    pub(crate) fn takes_commands(&self) -> bool {
        !self.is_failing || self.commands.is_empty()
    }

    /// Whether a command may be sent to a machine now.
    pub(crate) fn may_command(&self, machine: &SmolStr, now: Instant) -> bool {
        now >= self.hold_until
            && self.takes_commands()
            && !self.commands.contains_key(machine)
            && self.paused_until.get(machine).is_none_or(|&until| until <= now)
    }
}

impl Scheduler {
    /// Sends no command to a machine before `until`, because an earlier leader
    /// has sent one.
    pub fn pause_machine(&mut self, machine: SmolStr, until: Instant) {
        self.machines.paused_until.insert(machine, until);
    }

    /// Allows commands at once to machines that are not paused: it is known to
    /// which ones an earlier leader has sent commands recently.
    pub fn end_machine_hold(&mut self, now: Instant) {
        self.machines.hold_until = now;
    }

    /// Replaces the platform's list of machines by one that was asked for at
    /// `asked`. Machines that have been commanded since keep their known state.
    pub fn set_machine_list(&mut self, list: Vec<Machine>, asked: Instant) {
        if self.machines.replace_list(list, asked) {
            self.machines.drop_moves_not_made(asked);
            self.apply_list_to_waves(asked);
        }
    }

    /// Returns what is known of the machine of a command that is decided at `now`.
    pub fn command_target(&self, command: &MachineCommand, now: Instant) -> CommandTarget {
        let worker = self.worker_on(command.machine()).map(|key| &self.workers[key]);
        let asked = self.machines.list_asked;
        CommandTarget {
            decided: now,
            life: worker.map(|worker| worker.incarnation.life()),
            attempts: worker.map_or(0, |worker| worker.attempts.len()),
            list_age: asked.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// Sends a command to a machine and seals the record of its worker.
    pub(crate) fn command_machine(&mut self, command: MachineCommand, now: Instant) {
        let on = self.worker_on(command.machine());
        let life = on.map(|key| self.workers[key].incarnation.life());
        let sent = SentCommand { command: command.clone(), at: now, life };
        self.machines.commands.insert(command.machine().clone(), sent);
        self.machines.unanswered_moves.remove(command.machine());
        self.machines.note_change(command.machine(), now);
        // The worker gets no more work, so that the next leader need not wait
        // for its lease to expire.
        if let Some(key) = on {
            self.workers[key].sealed = true;
            self.records_changed = true;
        }
        self.actions.push(Action::Machine(command));
    }

    /// Records the result of a command to a machine.
    pub fn machine_answered(
        &mut self,
        command: &MachineCommand,
        answer: MachineAnswer,
        now: Instant,
    ) {
        let sent = self.machines.commands.remove(command.machine());
        let machine = command.machine().clone();
        self.machines.note_change(&machine, now);
        self.machines.is_failing =
            matches!(answer, MachineAnswer::Unanswered | MachineAnswer::Limited);
        match answer {
            MachineAnswer::Done => {
                if let Some(sent) = sent.filter(|sent| sent.command == *command) {
                    self.note_departure(&sent, now);
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
                // The machine may be down from now on, and gets no other command for as
                // long as maintenance takes.
                let until = now + self.down_time();
                match command {
                    MachineCommand::Maintain { wave, .. } => {
                        self.note_unanswered(*wave, &machine, now);
                    }
                    MachineCommand::Move { .. } => {
                        self.machines.unanswered_moves.insert(machine.clone(), now);
                    }
                }
                self.machines.paused_until.insert(machine, until.max(now + COMMAND_TIMEOUT));
            }
        }
    }

    /// Lets the worker on a machine get work again.
    pub(crate) fn uncordon(&mut self, machine: &SmolStr) {
        if let Some(key) = self.worker_on(machine) {
            self.workers[key].cordoned = false;
        }
    }

    /// Gives the worker on a machine work again if it answered a poll that was sent at
    /// `sent`, after a command to move the machine was not answered: the command has not
    /// been carried out.
    pub(crate) fn resolve_unanswered_move(&mut self, key: WorkerKey, sent: Instant) {
        let Some(machine) = self.workers[key].machine.clone() else { return };
        let Some(&at) = self.machines.unanswered_moves.get(&machine) else { return };
        if sent < at {
            return;
        }
        self.machines.resize.in_transit.remove(&machine);
        self.uncordon(&machine);
        if sent >= at + COMMAND_TIMEOUT {
            self.machines.unanswered_moves.remove(&machine);
        }
    }

    /// Whether a command to move a machine may still be carried out: it was not answered
    /// a short time ago.
    pub(crate) fn may_be_moved(&self, machine: Option<&SmolStr>) -> bool {
        machine.is_some_and(|machine| self.machines.unanswered_moves.contains_key(machine))
    }
}
